package policy

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Times of the daemons, as pkg/dsrd sets them.
const (
	heartbeatTime = time.Second
	// probeDelay is how long after its start an agent knows from a health check that its target lives.
	probeDelay = 20 * time.Millisecond
	// startDelay is how long a daemon takes until it reads packets.
	startDelay = 30 * time.Millisecond
	// awakeTime is the time between two notes of a balancer that it runs.
	awakeTime = 50 * time.Millisecond
	// outOfRotation is how long packets still go to a balancer that is dark: two checks at two a second.
	outOfRotation = time.Second
)

const serviceName = "route-svc"

var (
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")
	epoch          = time.Unix(1_790_000_000, 0)
)

// world is everything that takes part in a run.
type world struct {
	events
	o      Options
	random *rand.Rand
	// arrivals draws the times of requests apart from all else, so that every policy gets the same ones.
	arrivals  *rand.Rand
	balancers []*balancerNode
	agents    []*agentNode
	callers   map[netip.AddrPort]*try
	ports     uint32
	lives     uint64
	result    *Result
	// dark is set while balancers, agents and targets have no power; burst is the present multiple of the load.
	dark  bool
	burst float64
}

func newWorld(o Options) *world {
	w := &world{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), arrivals: rand.New(rand.NewPCG(o.Seed, 2)), callers: make(map[netip.AddrPort]*try), burst: 1,
		result: newResult(o),
	}
	w.clock = epoch
	for i := range o.Balancers {
		w.addBalancer(i)
	}
	for i := range o.Targets {
		w.addAgent(i)
	}
	return w
}

// routes is the only configuration.
func (w *world) routes() *routing.Table {
	return routing.NewTable(configuration.Configuration{Version: 1, Routes: []configuration.Route{{
		Name: "r", Destination: serviceAddress, Shares: []configuration.Share{{Service: serviceName, Weight: 1}},
		Aim: w.o.Aim, Timeout: w.o.Budget,
	}}, Services: []configuration.Service{w.service()}})
}

// service is what operators declare of the only service.
func (w *world) service() configuration.Service {
	s := configuration.Service{Name: serviceName}
	if !w.o.Undeclared {
		s.WarmUp, s.ColdPerSecond = w.o.ColdTime, w.o.ColdPerSecond
	}
	return s
}

// carry delivers a packet after a delay, or never.
func (w *world) carry(d time.Duration, do func()) {
	if w.o.Loss > 0 && w.random.Float64() < w.o.Loss {
		return
	}
	// A tenth more or less, so that packets of one moment do not keep their order by chance.
	w.after(time.Duration(float64(d)*(0.9+0.2*w.random.Float64())), do)
}

// between is the delay between two VMs.
func (w *world) between(a, b int) time.Duration {
	if a%2 == b%2 {
		return w.o.Near
	}
	return w.o.Far
}

// work draws the time of a request.
func (w *world) work() time.Duration {
	s := math.Sqrt(math.Log(1 + w.o.Spread*w.o.Spread))
	return time.Duration(float64(w.o.Work) * math.Exp(s*w.random.NormFloat64()-s*s/2))
}

// router hands a caller's packet to the balancer of its flow. Flows of a dark balancer move after a while.
func (w *world) router(key flow.Key, raw []byte) {
	var best *balancerNode
	var bestHash uint64
	for _, b := range w.balancers {
		hash := flow.Mix(key.Hash() ^ binary.BigEndian.Uint64([]byte{0, 0, 0, 0, 0, 0, 1, byte(b.index)}))
		if b.inRotation(w.now()) && (best == nil || hash > bestHash) {
			best, bestHash = b, hash
		}
	}
	if best != nil {
		best.fromCaller(raw)
	}
}

// send carries a caller's packet to a balancer.
func (w *world) send(key flow.Key, raw []byte) {
	w.carry(w.o.Caller, func() { w.router(key, raw) })
}

// toCaller carries a packet to the caller of a flow.
func (w *world) toCaller(to netip.AddrPort, raw []byte) {
	raw = append([]byte(nil), raw...)
	w.carry(w.o.Caller, func() {
		if c := w.callers[to]; c != nil {
			c.receive(raw)
		}
	})
}

// announceInterval is the time between two announcements of an agent, as the daemons pace them.
func (w *world) announceInterval() time.Duration {
	if w.o.Announce > 0 {
		return w.o.Announce
	}
	return max(roster.IntervalFor(w.o.Targets), time.Duration(float64(w.o.Balancers)/roster.SendRate*float64(time.Second)))
}
