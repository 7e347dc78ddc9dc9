package control

import (
	"fmt"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// unsettled says what the installation hasn't agreed on yet; nothing when it has.
func (c *cluster) unsettled() string {
	for _, look := range []func() string{c.unadopted, c.unjudged, c.unreported, c.disagreement, c.unwritten} {
		if why := look(); why != "" {
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

// unreported names a service whose status doesn't say that it is in force on every living balancer.
func (c *cluster) unreported() string {
	live := len(c.live())
	c.truth.mu.Lock()
	defer c.truth.mu.Unlock()
	for name, s := range c.lastStatuses() {
		if s.AcceptedRevision != 0 && !s.InForce.Complete() {
			return fmt.Sprintf("the status of %s says in force on %s, and %d balancers live", name, s.InForce, live)
		}
	}
	return ""
}

// disagreement names a balancer whose members aren't the living ones.
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
				return fmt.Sprintf("%s holds %s for %s (unreachable: %v)", b.name, m.ID, m.State, m.Unreachable)
			}
		}
		if live != len(want) {
			return fmt.Sprintf("%s knows %d living members of %d", b.name, live, len(want))
		}
	}
	return ""
}

func (c *cluster) unwritten() string {
	if n := len(c.missingRecords()); n > 0 {
		return fmt.Sprintf("%d refused callers have no record", n)
	}
	return ""
}
