package membership

// Role is the kind of process that a member is.
type Role uint8

const (
	// RoleAgent is the process beside a target.
	RoleAgent Role = iota + 1
	// RoleBalancer is the process on an entry VM.
	RoleBalancer
)

func (r Role) String() string {
	switch r {
	case RoleAgent:
		return "agent"
	case RoleBalancer:
		return "balancer"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name yields 0, which Table.Merge ignores.
func (r *Role) UnmarshalText(b []byte) error {
	*r = 0
	for _, known := range []Role{RoleAgent, RoleBalancer} {
		if known.String() == string(b) {
			*r = known
		}
	}
	return nil
}
