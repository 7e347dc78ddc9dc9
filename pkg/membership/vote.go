package membership

// Vote says that a watcher suspects a member to be dead, or does so no longer.
type Vote struct {
	// Voter is the ID of the watcher.
	Voter string
	// Member, Incarnation and Sequence name the record that the watcher judges.
	Member      string
	Incarnation uint64
	Sequence    uint64
	// Withdrawn is set when the watcher has heard of the member again.
	Withdrawn bool
}

// Ballot is a vote to be sent.
type Ballot struct {
	Vote Vote
	// To lists the IDs of the other watchers.
	To []string
}

// Decision is what a Detector found at one moment.
type Decision struct {
	// CutOff is set while the observer takes itself for cut off; it then votes for no death.
	CutOff bool
	// Ballots are the votes to send now.
	Ballots []Ballot
	// Dead are the records of members that the watchers agree on, with the state dead, to be merged.
	Dead []Member
}
