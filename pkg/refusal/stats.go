package refusal

// Stats are the counts of a Log; refusals count the merged ones too.
type Stats struct {
	// Recorded is the number of refusals that were recorded here.
	Recorded uint64
	// Held is the number of own records that are not yet in the store, and HeldRefusals what they stand for.
	Held         int
	HeldRefusals uint64
	// Merged is the number of records that were taken into others since memory was full.
	Merged uint64
	// Batches and WrittenRefusals are what is in the store, peers' records included.
	Batches         uint64
	WrittenRefusals uint64
	// WriteErrors is the number of failed store calls.
	WriteErrors uint64
	// Mirrored is the number of records that a peer took, and MirrorErrors the number of failed calls.
	Mirrored     uint64
	MirrorErrors uint64
	// Adopted is the number of records held for peers, and AdoptedRefusals what they stand for.
	Adopted         int
	AdoptedRefusals uint64
}
