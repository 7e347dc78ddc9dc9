package agentd

import "github.com/auburnwood/auburnwood/pkg/limit"

// Status describes an agent for its status listener.
type Status struct {
	// State is the target's membership state; "unannounced" before the target's announcement.
	State string `json:"state"`
	// Service is the announced service.
	Service string `json:"service,omitempty"`
	// OpenFlows is the number of flows that the agent owns.
	OpenFlows int `json:"openFlows"`
	// RefusalsHeld is the number of refusal records in memory.
	RefusalsHeld int `json:"refusalsHeld"`
}

// Load returns the observed load of the target's requests; zero unless the service is in request mode.
func (d *Daemon) Load() limit.Load {
	s := d.requests.current()
	if s == nil {
		return limit.Load{}
	}
	return s.Load()
}

const stateUnannounced = "unannounced"

func (d *Daemon) state() string {
	s := d.session.Load()
	if s == nil {
		return stateUnannounced
	}
	return s.Self().State.String()
}

// status implements telemetry.Status.
func (d *Daemon) status() any {
	s := Status{State: d.state(), RefusalsHeld: len(d.refusals.Held())}
	if a := d.agent.Load(); a != nil {
		s.OpenFlows = a.OpenFlows()
	}
	if session := d.session.Load(); session != nil {
		s.Service = session.Self().Service
	}
	return s
}
