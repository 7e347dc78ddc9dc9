package membership

// State is the state of a member. The order of the values matters: of two otherwise equal records, the one with the
// higher state wins.
type State uint8

const (
	// StateJoining means that the member has announced itself and accepts no work yet.
	StateJoining State = iota + 1
	// StateActive means that the member accepts work.
	StateActive
	// StateDraining means that the member continues its work and accepts no new work. It is final within an
	// incarnation.
	StateDraining
	// StateDead means that the member's watchers declared it dead. A record with a higher sequence refutes it.
	StateDead
	// StateLeft means that the process ended in an orderly way. It is final within an incarnation.
	StateLeft
)

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

// final returns the state if it is irreversible within an incarnation, else 0.
func (s State) final() State {
	if s == StateDraining || s == StateLeft {
		return s
	}
	return 0
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name yields 0, which Table.Merge ignores.
func (s *State) UnmarshalText(b []byte) error {
	*s = 0
	for known := StateJoining; known <= StateLeft; known++ {
		if known.String() == string(b) {
			*s = known
		}
	}
	return nil
}
