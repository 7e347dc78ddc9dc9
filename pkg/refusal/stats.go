package refusal

// Stats are the counts of a Log. Counts of refusals include the merged ones.
type Stats struct {
	// Recorded is the number of refusals recorded by this process.
	Recorded uint64
	// Held is the number of own records that are not yet in the store, and HeldRefusals the refusals that they cover.
	Held         int
	HeldRefusals uint64
	// Merged is the number of records merged into others because memory was full.
	Merged uint64
	// Batches and WrittenRefusals count what was written to the store, including peers' records.
	Batches         uint64
	WrittenRefusals uint64
	// WriteErrors is the number of failed store calls.
	WriteErrors uint64
	// Mirrored is the number of records and receipts in successful mirror calls, and MirrorErrors the number of failed
	// calls.
	Mirrored     uint64
	MirrorErrors uint64
	// Adopted is the number of records held for peers, and AdoptedRefusals the refusals that they cover.
	Adopted         int
	AdoptedRefusals uint64
}
