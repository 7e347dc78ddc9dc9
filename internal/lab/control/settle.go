package control

import (
	"fmt"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// unsettled describes the first condition of convergence that isn't met, or returns an empty string.
func (c *cluster) unsettled() string {
	for _, check := range []func() string{c.unadopted, c.unjudged, c.unreported, c.disagreement, c.unrecorded} {
		if why := check(); why != "" {
			return why
		}
	}
	return ""
}

func (c *cluster) unadopted() string {
	head := c.truth.head()
	for _, b := range c.live() {
		if n, _ := b.current(); n != head {
			return fmt.Sprintf("%s uses revision %d, the head names %d", b.name, n, head)
		}
	}
	return ""
}

// unjudged names a service whose last version has no status.
func (c *cluster) unjudged() string {
	c.truth.mu.Lock()
	defer c.truth.mu.Unlock()
	last := make(map[string]uint64)
	for _, s := range c.truth.services {
		last[s.service.Name] = s.version
	}
	for name, s := range c.lastStatuses() {
		if s.ObservedVersion == last[name] {
			delete(last, name)
		}
	}
	for name, version := range last {
		return fmt.Sprintf("version %d of %s has no status", version, name)
	}
	return ""
}

// lastStatuses returns the last status of each service; truth.mu is held.
func (c *cluster) lastStatuses() map[string]resource.ServiceStatus {
	out := make(map[string]resource.ServiceStatus)
	for _, s := range c.truth.statuses {
		out[s.status.Name] = s.status
	}
	return out
}

// unreported names an accepted service whose status doesn't report it in force on every balancer that the status counts.
func (c *cluster) unreported() string {
	live := len(c.live())
	c.truth.mu.Lock()
	defer c.truth.mu.Unlock()
	for name, s := range c.lastStatuses() {
		if s.AcceptedRevision != 0 && !s.InForce.Complete() {
			return fmt.Sprintf("the status of %s reports it in force on %s, with %d live balancers", name, s.InForce, live)
		}
	}
	return ""
}

// disagreement names a balancer whose view of the members differs from the live processes.
func (c *cluster) disagreement() string {
	want := make(map[string]membership.State)
	c.mu.Lock()
	for _, t := range c.targets {
		want[t.id] = membership.StateActive
	}
	for _, b := range c.balancers {
		want[b.name] = membership.StateActive
	}
	c.mu.Unlock()
	for _, b := range c.live() {
		live := 0
		for _, m := range b.daemon.Members() {
			if !m.Live() {
				continue
			}
			live++
			if want[m.ID] != m.State || m.Unreachable {
				return fmt.Sprintf("%s considers %s to be %s (unreachable: %v)", b.name, m.ID, m.State, m.Unreachable)
			}
		}
		if live != len(want) {
			return fmt.Sprintf("%s has %d live members, want %d", b.name, live, len(want))
		}
	}
	return ""
}

func (c *cluster) unrecorded() string {
	if n := len(c.missingRecords()); n > 0 {
		return fmt.Sprintf("%d refused callers have no record", n)
	}
	return ""
}
