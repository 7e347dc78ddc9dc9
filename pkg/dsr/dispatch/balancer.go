package dispatch

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/limit"
)

// due is a flow with the time of its next check.
type due struct {
	flow *flowState
	at   time.Time
	// phaseStart is the start of the phase that the entry belongs to; the flow may have entered that phase again since.
	phaseStart time.Time
}

// Balancer holds the state of all flows and agents of one balancer. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	codec   segment.Codec
	out     Output
	started time.Time
	routes  *routing.Table
	// evacuations are the data centres whose targets get no new flows.
	evacuations evacuation.Set
	agents      map[netip.AddrPort]*agent
	// order lists the agents in order of arrival, so that iteration is deterministic; services does so by service.
	order    []*agent
	services map[string][]*agent
	// candidates is the reused buffer of eligibleAgents.
	candidates []*agent
	// lastSeen is the time of the last message of any agent.
	lastSeen time.Time
	flows    map[flow.Key]*flowState
	// hedges, locates, probes, probeWindows, secondSearches and parkedFlows are queues in order of time: all entries of
	// one queue have (nearly) the same delay.
	hedges         []due
	locates        []due
	probes         []due
	probeWindows   []due
	secondSearches []due
	parkedFlows    []due
	// rechecks and slowRechecks are the flows about which is decided once more.
	rechecks     []due
	slowRechecks []due
	lastSweep    time.Time
	// searchBudget is the number of messages that searches may send, as of searchBudgetAt.
	searchBudget   float64
	searchBudgetAt time.Time
	// groupProbes limits the probes in groups.
	groupProbes rateLimit
	// question is the number of the last search, which answers repeat. collecting are the agents with
	// collected questions, which are sent at collectAt, collected is the number of these questions.
	question   uint32
	collecting []*agent
	collected  int
	collectAt  time.Time
	// directory lists the agents that may hold flows, holders is derived from it.
	directory *directory.Directory
	holders   holders
	// lastRunning is the time of the last call of MarkRunning. Until backlogUntil, packets may have waited in the
	// socket during a stall.
	lastRunning  time.Time
	backlogUntil time.Time
	// hedgeBudget limits the unanswered offers that are followed by an offer to the next agent.
	hedgeBudget *limit.Budget
	// answerLatency estimates how long agents take to answer an offer, workTimes the mean work time of each service.
	answerLatency estimate.Answer
	workTimes     map[string]*estimate.Mean
	// spreads compares the load of the balancer's data centre with that of all, by service.
	spreads map[string]spread
	// comparisons compares the targets of each service.
	comparisons map[string]*comparison
	// medians caches the median of the minimum answers, by service and address.
	medians map[answerKey]medianAnswer
	// overloads are the decisions about overload, by service; callers tells further tries from first ones, and retryBudget
	// limits those while a service is overloaded.
	overloads   map[string]*overload.Service
	callers     *overload.Callers
	retryBudget *limit.Budget

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

		services: make(map[string][]*agent),
		lastSeen: now,

		flows:       make(map[flow.Key]*flowState),
		workTimes:   make(map[string]*estimate.Mean),
		spreads:     make(map[string]spread),
		comparisons: make(map[string]*comparison),
		medians:     make(map[answerKey]medianAnswer),
		overloads:   make(map[string]*overload.Service),
		callers:     overload.NewCallers(now),
		lastSweep:   now,

		searchBudget:   SearchBurst,
		searchBudgetAt: now,
		groupProbes:    rateLimit{left: GroupProbeBurst, at: now},
		directory:      directory.New(now, cfg.First),
		holders:        holders{services: make(map[string]bool), recorded: make(map[netip.AddrPort]bool), views: make(map[netip.AddrPort]*holderView)},
		hedgeBudget:    limit.NewBudget(HedgeRatio, HedgeBurst),
		retryBudget:    limit.NewBudget(RetryRatio, RetryBurst),
	}
}

// SetRoutes puts a configuration in force. It ignores one that is not newer than the one in force, and reports whether
// it was applied.
func (b *Balancer) SetRoutes(now time.Time, t *routing.Table) bool {
	if b.routes != nil && t.Version() <= b.routes.Version() {
		return false
	}
	b.recordRoutes(now, t)
	b.routes = t
	b.retryParked(now, true)
	return true
}

// SetEvacuations puts a set of evacuated data centres in force. It ignores a set that does not replace the one in
// force, and reports whether it was applied.
func (b *Balancer) SetEvacuations(now time.Time, s evacuation.Set) bool {
	if !s.Replaces(b.evacuations) {
		return false
	}
	b.evacuations = s
	for service := range b.comparisons {
		b.expireComparison(service)
	}
	b.recountLoads(now)
	b.retryParked(now, false)
	return true
}

func (b *Balancer) Evacuations() evacuation.Set { return b.evacuations }

// Routes returns the configuration in force, or nil.
func (b *Balancer) Routes() *routing.Table { return b.routes }

// Flows returns the number of tracked flows.
func (b *Balancer) Flows() int { return len(b.flows) }

// OpenFlows returns the number of flows with a packet of the caller within the given time that are neither closed by
// their caller nor refused.
func (b *Balancer) OpenFlows(now time.Time, within time.Duration) int {
	n := 0
	for _, f := range b.flows {
		if !f.closed && f.phase != refused && now.Sub(f.touched) <= within {
			n++
		}
	}
	return n
}

// MarkRunning records that the process runs; it must be called every 50 ms. After a stall of the process or its VM,
// packets in the socket look new although their retransmissions may have opened flows through other balancers; these
// flows must not be reset.
func (b *Balancer) MarkRunning(now time.Time) {
	b.detectStall(now)
	b.lastRunning = now
}

// detectStall starts the backlog period when the process has not run for longer than StallThreshold.
func (b *Balancer) detectStall(now time.Time) {
	if !b.lastRunning.IsZero() && now.Sub(b.lastRunning) > StallThreshold {
		b.backlogUntil = now.Add(StallBacklogTime)
	}
}

// FromCaller handles a packet of a caller.
func (b *Balancer) FromCaller(now time.Time, s segment.Segment) {
	key := s.CallerKey()
	f := b.flows[key]
	if s.IsOpening() {
		b.openingPacket(now, key, f, s)
		return
	}
	if f == nil {
		if len(b.flows) >= b.cfg.MaxFlows || !b.mayStartSearch(now) {
			return
		}
		f = &flowState{key: key, hash: key.Hash(), arrived: now, phase: lost}
		b.flows[key] = f
	}
	f.touched = now
	b.recordRequest(now, f, s)
	if s.Has(segment.FIN) || s.Has(segment.RST) {
		f.closed = true
	}
	switch f.phase {
	case open:
		b.toOwner(now, f, s)
	case lost, refused:
		b.search(now, f, s)
	case queued:
		b.packetWhileQueued(now, f, s)
	default:
		f.hold(s.Raw)
	}
}

// packetWhileQueued handles a packet on a flow that waits at an agent, as far as this balancer knows. A target has answered its caller:
// the agent's message about that was lost, or went to another balancer that had also offered the flow.
func (b *Balancer) packetWhileQueued(now time.Time, f *flowState, s segment.Segment) {
	if s.Has(segment.RST) {
		return
	}
	b.search(now, f, s)
}

// toOwner sends a packet of an open flow to the agent whose target holds it, or searches for that agent.
func (b *Balancer) toOwner(now time.Time, f *flowState, s segment.Segment) {
	a, ok := f.ownerOf(s.Acknowledgement)
	if !ok {
		b.search(now, f, s)
		return
	}
	b.forward(now, f, a, s.Raw, true, dsrpb.Patience_PATIENCE_QUEUE)
}

// forward sends a caller's packet to an agent. With owns set, the agent's target is expected to hold the flow.
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

// FromAgent handles a message of an agent.
func (b *Balancer) FromAgent(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	a := b.agents[from]
	if a != nil {
		b.recordReport(now, a, m)
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
	if m.Kind == dsrpb.Kind_KIND_LOCATED {
		b.receiveAnswers(now, from, key, m)
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
	}
}
