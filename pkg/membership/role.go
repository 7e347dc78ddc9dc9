package membership

// Role says what a member is.
type Role uint8

// Roles.
const (
	// RoleAgent is the process beside a target.
	RoleAgent Role = iota + 1
	// RoleBalancer is the process on an entry VM.
	RoleBalancer
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleAgent:
		return "agent"
	case RoleBalancer:
		return "balancer"
	}
	return "unknown"
}

// MarshalText writes the role's name.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText reads the role's name; an unknown one gives 0, which no table takes.
func (r *Role) UnmarshalText(b []byte) error {
	*r = 0
	for _, known := range []Role{RoleAgent, RoleBalancer} {
		if known.String() == string(b) {
			*r = known
		}
	}
	return nil
}
