package membership

// State is the state of a member. The order of the values matters: of two records that are equal otherwise, the one
// with the higher state wins.
type State uint8

// States.
const (
	// StateJoining has announced itself and takes no work yet.
	StateJoining State = iota + 1
	// StateActive takes work.
	StateActive
	// StateDraining keeps its work and takes no new one; final within an incarnation.
	StateDraining
	// StateDead was declared dead by its watchers; a higher sequence refutes it.
	StateDead
	// StateLeft has ended by itself; final within an incarnation.
	StateLeft
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateJoining:
		return "joining"
	case StateActive:
		return "active"
	case StateDraining:
		return "draining"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	}
	return "unknown"
}

// Gone reports whether the state is dead or left.
func (s State) Gone() bool {
	return s == StateDead || s == StateLeft
}

// final returns the part of the state that can't be taken back within an incarnation; 0 when there is none.
func (s State) final() State {
	if s == StateDraining || s == StateLeft {
		return s
	}
	return 0
}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads the state's name; an unknown one gives 0, which no table takes.
func (s *State) UnmarshalText(b []byte) error {
	*s = 0
	for known := StateJoining; known <= StateLeft; known++ {
		if known.String() == string(b) {
			*s = known
		}
	}
	return nil
}
