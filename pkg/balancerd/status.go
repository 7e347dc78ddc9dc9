package balancerd

import "github.com/auburnwood/auburnwood/pkg/membership"

// Status describes a balancer for its status listener.
type Status struct {
	// Revision is the adopted configuration revision; 0 when none is known.
	Revision uint64 `json:"revision"`
	// NotReady is the reason why no configuration is in force; empty when one is.
	NotReady string `json:"notReady,omitempty"`
	// Balancers and Targets are the numbers of live members.
	Balancers int `json:"balancers"`
	Targets   int `json:"targets"`
	// RefusalsHeld is the number of refusal records in memory.
	RefusalsHeld int `json:"refusalsHeld"`
}

// status implements telemetry.Status.
func (d *Daemon) status() any {
	s := Status{Revision: d.adopter.Number(), RefusalsHeld: len(d.refusals.Held())}
	if err := d.adopter.Ready(); err != nil {
		s.NotReady = err.Error()
	}
	for _, m := range d.Members() {
		if !m.Live() {
			continue
		}
		if m.Role == membership.RoleBalancer {
			s.Balancers++
			continue
		}
		s.Targets++
	}
	return s
}
