package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// maxPriorityAddresses bounds the addresses whose priorities are remembered.
const maxPriorityAddresses = 4096

// demand is what is asked of the target. The zero value is ready for use.
type demand struct {
	meter overload.Meter
	// priorities are those of the routes, by their addresses, as named by the new flows. A flow that is older than the
	// agent may have none and counts as one of the highest.
	priorities map[netip.AddrPort]int
}

// recordNew counts the request of a new flow that the target is given or that is queued for it.
func (d *demand) recordNew(now time.Time, o *dsrpb.Opening, key flow.Key) {
	if o != nil {
		d.setPriority(key.Destination, int(o.Priority))
	}
	d.meter.Record(now, d.priorities[key.Destination])
}

// recordLater counts a further request on an open flow when its first data arrives.
func (d *demand) recordLater(now time.Time, key flow.Key, e *entry) {
	if e.answered && !e.working {
		d.meter.Record(now, d.priorities[key.Destination])
	}
}

func (d *demand) setPriority(address netip.AddrPort, priority int) {
	if d.priorities == nil || len(d.priorities) >= maxPriorityAddresses {
		d.priorities = make(map[netip.AddrPort]int)
	}
	d.priorities[address] = priority
}

// announceDemand adds the target's capacity and what it is asked for to an announcement.
func (t *Table) announceDemand(now time.Time, a *dsrpb.Announcement) {
	a.CapacityPerSecond = float32(t.capacity(now))
	for _, d := range t.demand.meter.Demands(now) {
		a.Demands = append(a.Demands, &dsrpb.Demand{Priority: uint32(d.Priority), PerSecond: float32(d.PerSecond)})
	}
}

// capacity is the number of requests that the target can finish in a second, 0 while that is unknown. It uses the last
// known work time however old it is: while all slots are busy, no request has one at once, and there is no new sample.
func (t *Table) capacity(now time.Time) float64 {
	if !t.meanWork.HasSample() {
		return 0
	}
	capacity := float64(t.slots()) / t.workTime().Seconds()
	if limit := t.coldLimit(now); limit.InForce(now) {
		return min(capacity, limit.PerSecond)
	}
	return capacity
}
