package dispatch

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/limit"
)

// due is a flow that has to be looked at at a time.
type due struct {
	flow *flowState
	at   time.Time
	// begun is when the phase began that the entry belongs to, where a flow may have entered it again since.
	begun time.Time
}

// Balancer holds the flows and agents that one balancer knows. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	codec   segment.Codec
	out     Output
	started time.Time
	routes  *routing.Table
	// evacuations are the data centres whose targets take no new flows.
	evacuations evacuation.Set
	agents      map[netip.AddrPort]*agent
	// order keeps the order in which agents came, so that every walk is the same; services has those of each service, in order too.
	order    []*agent
	services map[string][]*agent
	// candidates is the space of the agents among which one is chosen.
	candidates []*agent
	// lastHeard is when any agent was last heard of.
	lastHeard time.Time
	flows     map[flow.Key]*flowState
	// hedges, locates, probes, later and parks are queues by time: entries of one wait the same, or nearly so.
	hedges  []due
	locates []due
	probes  []due
	later   []due
	parks   []due
	swept   time.Time
	// searchMessages is the number of messages that searches may send now, searchedAt when it was worked out.
	searchMessages float64
	searchedAt     time.Time
	// awake is the last call of Awake; until doubted, packets may have waited in the socket.
	awake   time.Time
	doubted time.Time
	// hedgeBudget bounds the unanswered offers about which the next agent is asked.
	hedgeBudget *limit.Budget
	// answer learns how long agents take to answer an offer, works the usual work of each service.
	answer estimate.Answer
	works  map[string]*estimate.Mean
	// spreads compare the own data centre with others, by service.
	spreads map[string]spread
	// usual are the least answers of the median target of a service.
	usual map[usualKey]usualAnswer

	message dsrpb.Message
}

// NewBalancer returns a balancer without routes, agents or flows.
func NewBalancer(cfg Config, codec segment.Codec, out Output, now time.Time) *Balancer {
	cfg.MaxFlows = cmp.Or(cfg.MaxFlows, MaxFlows)
	return &Balancer{
		cfg:     cfg,
		codec:   codec,
		out:     out,
		started: now,
		agents:  make(map[netip.AddrPort]*agent),

		services:  make(map[string][]*agent),
		lastHeard: now,

		flows:   make(map[flow.Key]*flowState),
		works:   make(map[string]*estimate.Mean),
		spreads: make(map[string]spread),
		usual:   make(map[usualKey]usualAnswer),
		swept:   now,

		searchMessages: SearchBurst,
		searchedAt:     now,
		hedgeBudget:    limit.NewBudget(HedgeShare, HedgeBurst),
	}
}

// SetRoutes takes a configuration into force. An older one than that in force is left out.
func (b *Balancer) SetRoutes(now time.Time, t *routing.Table) bool {
	if b.routes != nil && t.Version() <= b.routes.Version() {
		return false
	}
	b.routes = t
	b.retryParked(now, true)
	return true
}

// SetEvacuations takes the evacuated data centres into force. An earlier set than that in force is left out.
func (b *Balancer) SetEvacuations(now time.Time, s evacuation.Set) bool {
	if !s.Replaces(b.evacuations) {
		return false
	}
	b.evacuations = s
	b.retryParked(now, false)
	return true
}

// Evacuations are the evacuated data centres.
func (b *Balancer) Evacuations() evacuation.Set { return b.evacuations }

// Routes is the configuration in force, or nil.
func (b *Balancer) Routes() *routing.Table { return b.routes }

// Flows is the number of flows that are known.
func (b *Balancer) Flows() int { return len(b.flows) }

// Open is the number of flows that saw a packet within the time and have not been closed by their caller.
func (b *Balancer) Open(now time.Time, within time.Duration) int {
	n := 0
	for _, f := range b.flows {
		if !f.closed && f.phase != refused && now.Sub(f.touched) <= within {
			n++
		}
	}
	return n
}

// Awake notes that the process runs; it is called every 50 ms. A process that was stopped, or whose VM stood still, then finds
// packets in its socket that look new: their copies may have opened flows by way of other balancers, which must not be reset.
func (b *Balancer) Awake(now time.Time) {
	b.noteStandstill(now)
	b.awake = now
}

// noteStandstill begins the time of doubt when the process has not run.
func (b *Balancer) noteStandstill(now time.Time) {
	if !b.awake.IsZero() && now.Sub(b.awake) > StandstillAfter {
		b.doubted = now.Add(DoubtTime)
	}
}

// FromCaller takes a packet of a caller.
func (b *Balancer) FromCaller(now time.Time, s segment.Segment) {
	key := s.CallerKey()
	f := b.flows[key]
	if s.IsOpening() {
		b.openingPacket(now, key, f, s)
		return
	}
	if f == nil {
		if len(b.flows) >= b.cfg.MaxFlows || !b.maySearch(now) {
			return
		}
		f = &flowState{key: key, hash: key.Hash(), arrived: now, phase: lost}
		b.flows[key] = f
	}
	f.touched = now
	if s.Has(segment.FIN) || s.Has(segment.RST) {
		f.closed = true
	}
	switch f.phase {
	case open:
		b.toOwner(now, f, s)
	case lost, refused:
		b.search(now, f, s)
	default:
		f.hold(s.Raw)
	}
}

// toOwner sends a packet of an open flow to the agent that holds it.
func (b *Balancer) toOwner(now time.Time, f *flowState, s segment.Segment) {
	a, ok := f.ownerOf(s.Acknowledgement)
	if !ok {
		b.search(now, f, s)
		return
	}
	b.forward(now, f, a, s.Raw, true, dsrpb.Patience_PATIENCE_QUEUE)
}

// forward sends a caller's packet to an agent.
func (b *Balancer) forward(now time.Time, f *flowState, to netip.AddrPort, raw []byte, owns bool, p dsrpb.Patience) {
	service := f.service
	if a := b.agents[to]; a != nil && owns {
		service = a.service
	}
	b.message = dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_FORWARD,
		Flow:          f.hash,
		Service:       service,
		Configuration: b.routes.Version(),
		Packet:        raw,
		Owner:         owns,
		Patience:      p,
	}
	if !owns {
		f.opening.AgeMs = uint32(now.Sub(f.arrived) / time.Millisecond)
		b.message.Opening = &f.opening
	}
	b.out.ToAgent(to, &b.message)
}

// FromAgent takes a message of an agent.
func (b *Balancer) FromAgent(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	a := b.agents[from]
	if a != nil {
		b.report(now, a, m)
	}
	if m.Configuration > b.routes.Version() {
		b.out.Outdated(m.Configuration)
	}
	if m.Kind == dsrpb.Kind_KIND_ANNOUNCE {
		b.announced(now, from, a, m)
		return
	}
	key, ok := m.Key()
	if !ok {
		return
	}
	f := b.flows[key]
	if f == nil {
		return
	}
	switch m.Kind {
	case dsrpb.Kind_KIND_ACCEPTED:
		b.accepted(now, f, from, m)
	case dsrpb.Kind_KIND_RETURNED:
		b.returned(now, f, from, m)
	case dsrpb.Kind_KIND_LOCATED:
		b.located(now, f, from, m)
	}
}
