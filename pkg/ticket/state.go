package ticket

type State uint8

// States of a ticket. The transitions are: issued to waiting, cancelled or expired; waiting to running or cancelled;
// running to ran, lost, cancelled (proved not to have run), or back to waiting (proved not to have begun).
const (
	// StateForeign means that this incarnation never issued the ticket; it can never run.
	StateForeign State = iota
	// StateIssued means that the ticket has not been submitted.
	StateIssued
	// StateWaiting means that one submission has the ticket and waits for a slot.
	StateWaiting
	// StateRunning means that the work may have reached a target.
	StateRunning
	// StateRan means that a target answered the work.
	StateRan
	// StateLost means that the work was started and its outcome cannot be known.
	StateLost
	// StateCancelled means that the work was not run and never will be.
	StateCancelled
	// StateExpired means that the ticket was not submitted in time; the work was not run and never will be.
	StateExpired
	// StateForgotten means that the ticket was evicted from the book; its work may have run, and will not run again.
	StateForgotten
)

var stateNames = [...]string{
	"foreign", "issued", "waiting", "running", "ran", "lost", "cancelled", "expired", "forgotten",
}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// NeverRuns reports whether the work was not run and never will be.
func (s State) NeverRuns() bool {
	return s == StateForeign || s == StateCancelled || s == StateExpired
}
