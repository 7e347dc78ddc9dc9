package flows

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

const (
	openRate       = 1500 // flows per second during the ramp
	warmTime       = 3 * time.Second
	closeTime      = 3 * time.Second
	minRamp        = time.Second
	minSize        = 1 << 10
	maxSize        = 64 << 10
	flowsPerHost   = 40
	firstPort      = 10000
	mediumFraction = 0.5             // fraction of the flows that are not long
	mediumHold     = 4 * time.Second // mean
	chunksPerSec   = 6000            // total of all long flows
	minInterval    = 500 * time.Millisecond
)

// timeline holds the durations of the phases of a run: ramp, warm-up, faults, close.
type timeline struct {
	ramp, warm, window, close time.Duration
}

func newTimeline(o Options) timeline {
	ramp := time.Duration(o.longFlows()) * time.Second / openRate
	return timeline{ramp: max(ramp, minRamp), warm: warmTime, window: o.Window, close: closeTime}
}

// faults returns the offset from the start at which the faults begin.
func (t timeline) faults() time.Duration { return t.ramp + t.warm }

// end returns the offset from the start at which the fault window ends.
func (t timeline) end() time.Duration { return t.faults() + t.window }

// workload generates the random flows of a run.
type workload struct {
	random            *rand.Rand
	timeline          timeline
	services          []resource.Service
	cumulativeTargets []int
	total             int
	every             time.Duration
	ipv6              bool
	udp               bool
}

func newWorkload(o Options, d Deployment, services []resource.Service, t timeline) *workload {
	w := &workload{random: rand.New(rand.NewPCG(o.Seed, 3)), timeline: t, ipv6: o.IPv6, udp: o.UDP}
	for _, s := range services {
		w.total += d.targetsOf(s.Name)
		w.cumulativeTargets = append(w.cumulativeTargets, w.total)
		w.services = append(w.services, s)
	}
	w.every = max(minInterval, time.Duration(o.longFlows())*time.Second/chunksPerSec)
	return w
}

// plans generates all flows: the long ones start during the ramp, the others at any time.
func (w *workload) plans(o Options) []*plan {
	long := o.longFlows()
	out := make([]*plan, 0, o.Flows)
	for i := range o.Flows {
		p := w.plan(i)
		switch {
		case i < long:
			w.makeLong(p, i, long)
		case w.random.Float64() < mediumFraction:
			w.makeMedium(p)
		default:
			w.makeShort(p)
		}
		if w.udp {
			p.kind = kindDatagrams
		}
		out = append(out, p)
	}
	return out
}

// plan selects a random service for flow i and assigns it a local address and port that no other flow has.
func (w *workload) plan(i int) *plan {
	s := w.service()
	a := s.Spec.Addresses[0]
	return &plan{
		name:    fmt.Sprintf("f%d", i),
		service: s.Name,
		local:   netip.AddrPortFrom(w.host(i/flowsPerHost), uint16(firstPort+i%flowsPerHost)),
		remote:  netip.AddrPortFrom(netip.MustParseAddr(a.IP), a.Port),
	}
}

// host returns the address of a caller's host.
func (w *workload) host(n int) netip.Addr {
	if w.ipv6 {
		ip := netip.MustParseAddr("2001:db8:2::").As16()
		ip[14], ip[15] = byte(n>>8), byte(n)
		return netip.AddrFrom16(ip)
	}
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// service selects a random service, weighted by its number of targets.
func (w *workload) service() *resource.Service {
	n := w.random.IntN(w.total)
	for i, upTo := range w.cumulativeTargets {
		if n < upTo {
			return &w.services[i]
		}
	}
	return &w.services[len(w.services)-1]
}

func (w *workload) makeLong(p *plan, i, long int) {
	p.kind = kindPacedDownload
	if w.random.IntN(2) == 0 {
		p.kind = kindEcho
	}
	p.start = w.timeline.ramp * time.Duration(i) / time.Duration(long)
	p.every = w.every
	p.hold = w.timeline.end() - p.start + time.Duration(w.random.Int64N(int64(w.timeline.close)))
}

// makeMedium makes a flow start at any time and last for a few seconds, so that flows end while others start.
func (w *workload) makeMedium(p *plan) {
	p.kind = kindPacedDownload
	p.start = time.Duration(w.random.Int64N(int64(w.timeline.end())))
	p.every = w.every
	p.hold = min(time.Duration(w.random.ExpFloat64()*float64(mediumHold)), w.timeline.end()-p.start+w.timeline.close)
}

func (w *workload) makeShort(p *plan) {
	p.kind = kindDownload
	if w.random.IntN(4) == 0 {
		p.kind = kindUpload
	}
	p.start = time.Duration(w.random.Int64N(int64(w.timeline.end())))
	p.every = w.every
	p.size = minSize + w.random.Int64N(maxSize-minSize)
}
