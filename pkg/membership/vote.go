package membership

// Vote states that a watcher suspects a member, or, when withdrawn, that it no longer does.
type Vote struct {
	// Voter is the ID of the watcher.
	Voter string
	// Member, Incarnation and Sequence identify the record that the vote is about.
	Member      string
	Incarnation uint64
	Sequence    uint64
	// Withdrawn is set when the watcher no longer suspects the member, or considers itself cut off.
	Withdrawn bool
}

// Ballot is a vote to be sent, with its recipients.
type Ballot struct {
	Vote Vote
	// To lists the IDs of the member's other watchers.
	To []string
}

// Decision is the result of one Detector.Tick.
type Decision struct {
	// CutOff is set while the observer considers itself cut off; it then withdraws its votes and declares nobody dead.
	CutOff bool
	// Ballots are the votes to send now.
	Ballots []Ballot
	// Dead are the records, with the state dead, of the members that a majority of their watchers suspects. The caller
	// merges them into the table.
	Dead []Member
}
