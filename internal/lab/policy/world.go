package policy

import (
	"cmp"
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
	heartbeatInterval = time.Second
	// probeDelay is the time from the start of an agent to its first health check result.
	probeDelay = 20 * time.Millisecond
	// startDelay is the time from the start of a daemon until it reads packets.
	startDelay = 30 * time.Millisecond
	// markRunningInterval is the time between two calls of MarkRunning.
	markRunningInterval = 50 * time.Millisecond
	// failoverDelay is how long routers still send packets to a balancer that is down: two checks at two per second.
	failoverDelay = time.Second
)

const serviceName = "route-svc"

var (
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")
	urgentAddress  = netip.MustParseAddrPort("198.18.0.2:443")
	epoch          = time.Unix(1_790_000_000, 0)
)

// world is the simulated installation.
type world struct {
	events
	o      Options
	random *rand.Rand
	// arrivals draws the request times from a generator of their own, so that all policies get the same ones.
	arrivals  *rand.Rand
	balancers []*balancerNode
	agents    []*agentNode
	callers   map[netip.AddrPort]*try
	ports     uint32
	// callerPorts are the last ports of callers with addresses of their own.
	callerPorts map[int]uint32
	// kinds draws the kinds and callers of requests.
	kinds        *rand.Rand
	incarnations uint64
	result       *Result
	// powerLost is set during a power loss; burst is the current multiple of the load.
	powerLost bool
	burst     float64
}

func newWorld(o Options) *world {
	w := &world{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), arrivals: rand.New(rand.NewPCG(o.Seed, 2)), kinds: rand.New(rand.NewPCG(o.Seed, 3)), callers: make(map[netip.AddrPort]*try), callerPorts: make(map[int]uint32), burst: 1,
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

// routes returns the only configuration of a run.
func (w *world) routes() *routing.Table {
	r := configuration.Route{
		Name: "r", Destination: serviceAddress, Shares: []configuration.Share{{Service: serviceName, Weight: 1}},
		Aim: w.o.Aim, Timeout: w.o.Budget, Priority: 1,
	}
	urgent := r
	urgent.Name, urgent.Destination, urgent.Priority = "urgent", urgentAddress, 0
	return routing.NewTable(configuration.Configuration{
		Version: 1, Routes: []configuration.Route{r, urgent}, Services: []configuration.Service{w.service()},
	})
}

// service returns the configuration of the only service.
func (w *world) service() configuration.Service {
	s := configuration.Service{Name: serviceName}
	if !w.o.Undeclared {
		s.WarmUp, s.ColdPerSecond = w.o.ColdTime, w.o.ColdPerSecond
	}
	return s
}

// deliver runs do after about d, unless the packet is lost.
func (w *world) deliver(d time.Duration, do func()) {
	if w.o.Loss > 0 && w.random.Float64() < w.o.Loss {
		return
	}
	// Jitter of ±10% reorders packets that are sent at the same time.
	w.after(time.Duration(float64(d)*(0.9+0.2*w.random.Float64())), do)
}

// delayBetween returns the one-way delay between two VMs.
func (w *world) delayBetween(a, b int) time.Duration {
	if w.dataCentre(a) == w.dataCentre(b) {
		return w.o.Near
	}
	return w.o.Far
}

// dataCentre returns the number of the data centre of a VM or caller.
func (w *world) dataCentre(index int) int { return index % cmp.Or(w.o.DataCentres, 2) }

// work draws the service time of a request.
func (w *world) work() time.Duration {
	s := math.Sqrt(math.Log(1 + w.o.Spread*w.o.Spread))
	return time.Duration(float64(w.o.Work) * math.Exp(s*w.random.NormFloat64()-s*s/2))
}

// route passes a caller's packet to the balancer in rotation with the highest rendezvous hash for its flow.
func (w *world) route(key flow.Key, raw []byte) {
	var best *balancerNode
	var bestHash uint64
	for _, b := range w.balancers {
		hash := flow.Mix(key.Hash() ^ binary.BigEndian.Uint64([]byte{0, 0, 0, 0, 0, 0, 1, byte(b.index)}))
		if b.inRotation(w.now()) && w.reaches(key, b) && (best == nil || hash > bestHash) {
			best, bestHash = b, hash
		}
	}
	if best != nil {
		best.fromCaller(raw)
	}
}

// reaches reports whether the packets of a flow go to the balancers of a data centre.
func (w *world) reaches(key flow.Key, b *balancerNode) bool {
	if w.o.Callers == 0 {
		return true
	}
	address := key.Source.Addr().As4()
	return w.dataCentre(int(binary.BigEndian.Uint16(address[2:]))) == w.dataCentre(b.index)
}

// send carries a packet from a caller to the routers.
func (w *world) send(key flow.Key, raw []byte) {
	w.deliver(w.o.Caller, func() { w.route(key, raw) })
}

// toCaller carries a packet to a caller.
func (w *world) toCaller(to netip.AddrPort, raw []byte) {
	raw = append([]byte(nil), raw...)
	w.deliver(w.o.Caller, func() {
		if c := w.callers[to]; c != nil {
			c.receive(raw)
		}
	})
}

// announceInterval returns the time between two announcements of an agent: Options.Announce if set, otherwise that of
// the daemons.
func (w *world) announceInterval() time.Duration {
	if w.o.Announce > 0 {
		return w.o.Announce
	}
	return max(roster.IntervalFor(w.o.Targets), time.Duration(float64(w.o.Balancers)/roster.SendRate*float64(time.Second)))
}
