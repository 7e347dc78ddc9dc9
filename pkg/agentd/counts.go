package agentd

import "github.com/auburnwood/auburnwood/pkg/agent"

// counts returns the number of flows and requests that have ended at the target, and how many of them failed. Both only
// increase within an incarnation of the agent.
func (d *Daemon) counts(a *agent.Agent) (requests, failures uint64) {
	requests, failures = a.FlowCounts()
	if s := d.requests.current(); s != nil {
		r, f := s.Counts()
		requests, failures = requests+r, failures+f
	}
	return requests, failures
}
