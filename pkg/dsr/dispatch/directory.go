package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// Directory returns the agents beside which targets may hold flows. It is valid until the next call of the balancer.
func (b *Balancer) Directory() *directory.Directory { return b.directory }

// LoadDirectory adds the agents that were known before this process started.
func (b *Balancer) LoadDirectory(now time.Time, s directory.Snapshot) { b.directory.Load(now, s) }

// recordInDirectory lists an agent that has announced itself.
func (b *Balancer) recordInDirectory(now time.Time, a *agent) {
	if a.state == dsrpb.State_STATE_LEAVING {
		b.directory.RecordLeaving(now, a.service, a.addr, a.silenceTimeout())
		return
	}
	b.directory.Record(now, a.service, a.addr)
}
