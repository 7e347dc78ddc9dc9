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
