package ownership

import "github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"

// connectionLimit is the number of flows that operators allow a target of the service to hold.
type connectionLimit struct {
	// flows is the limit, 0 for none; version is the configuration that declares it.
	flows   int
	version uint64
}

// apply takes the limit from a balancer's new flow. That of an earlier configuration is ignored, and so is none under the
// same configuration: a balancer of a release without limits sends it.
func (l *connectionLimit) apply(m *dsrpb.Message) {
	if m.Opening == nil || m.Configuration < l.version {
		return
	}
	if m.Configuration == l.version && m.Opening.MaxConnections == 0 {
		return
	}
	l.version = m.Configuration
	l.flows = int(m.Opening.MaxConnections)
}

// Connections is the number of flows that the target holds, is offered, or has queued at this agent.
func (t *Table) Connections() int { return len(t.flows) - t.released }

// atConnectionLimit reports whether the target may hold no further flow. Queued flows count, so that a queued flow is
// not declined when its turn comes.
func (t *Table) atConnectionLimit() bool {
	return t.connectionLimit.flows > 0 && t.Connections() >= t.connectionLimit.flows
}

// releaseConnection records that the target no longer holds a connection for the flow.
func (t *Table) releaseConnection(e *entry) {
	if e.released {
		return
	}
	e.released = true
	t.released++
}
