package dsrd

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/dsr/recording"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

// Answers to agents' announcements.
const (
	// answeredAnnouncements is the number of announcements, of an agent that knows the balancer, per answer.
	// welcomeInterval is the least time between two answers.
	answeredAnnouncements = 2
	welcomeInterval       = 600 * time.Millisecond
)

// Balancer is the daemon of a balancer of pass-through services.
type Balancer struct {
	*node
	cfg        settings.DSRBalancer
	configSync *configSync
	refusals   *refusal.Log
	handover   *refusalHandover
	out        *balancerOutput

	// core and the fields below are guarded by node.mu.
	core   *dispatch.Balancer
	agents roster.Peers
	// lastWelcome is when each agent was last answered.
	lastWelcome map[netip.AddrPort]time.Time
	// regainedAgents are the agents that were seen again since the last log.
	regainedAgents []netip.AddrPort
	// readCapacity is the reported read capacity of the other balancers, see readsPerSecond. requestAgents is set
	// until one of them has sent the agents that it knows.
	readCapacity  map[netip.AddrPort]uint32
	requestAgents bool
	rosters       rosterBudget
	// evicted is when the state of lost processes was last removed.
	evicted time.Time
	// discovery looks for other balancers, memberReader reads the list of them.
	discovery    *discovery
	memberReader *memberReader
	// serviceStatusWriter writes the statuses of saturated services.
	serviceStatusWriter *serviceStatusWriter
	// evacuationReader reads the evacuations; pendingRoutes is the configuration that is applied once they are known.
	evacuationReader *evacuationReader
	pendingRoutes    *routing.Table
	// directoryReader reads the agents that may hold open flows, directoryWriter writes them.
	directoryReader *directoryReader
	directoryWriter *directoryWriter
	// openFlowsAt is when an agent last reported open flows; directoryConfirmed is when the agents that were read were last
	// known to be all, directoryComplete whether they were at the last look.
	openFlowsAt        time.Time
	directoryConfirmed time.Time
	directoryComplete  bool
	// routesKnown is whether all routes were known at the last look.
	routesKnown bool
	// directoryState is whether this balancer wrote the agents at the last look.
	directoryState directoryWriterState
	message        dsrpb.Message
	// reportedEras are the eras of the object API that other balancers report. A reported era only triggers a call;
	// the answer to that confirms it.
	reportedEras *objectapi.Eras
	// lastWithoutEra is when a balancer of a release without eras last reported evacuations; their versions cannot be
	// compared.
	lastWithoutEra time.Time
}

// NewBalancer binds the sockets of a balancer.
func NewBalancer(cfg settings.DSRBalancer, p Platform, env telemetry.Env) (*Balancer, error) {
	n, err := newNode(cfg.DSRProcess, p, env)
	if err != nil {
		return nil, err
	}
	ip := n.packets.address().Addr()
	if n.messages, err = listenUDP(netip.AddrPortFrom(ip, n.messagePort), env); err != nil {
		return nil, err
	}
	n.self = n.messages.address()
	b := &Balancer{
		node:         n,
		cfg:          cfg,
		lastWelcome:  make(map[netip.AddrPort]time.Time),
		readCapacity: make(map[netip.AddrPort]uint32),
		// At a first start nobody knows all agents yet; they announce themselves.
		requestAgents: !cfg.FirstStart,
		rosters:       newRosterBudget(cfg.LinkMbps),
	}
	b.openRefusals()
	b.out = newBalancerOutput(b)
	b.core = dispatch.NewBalancer(dispatch.Config{DataCentre: cfg.DataCentre, First: cfg.FirstStart}, p.Codec, b.out, n.started)
	b.openConfigSync()
	b.openReaders()
	b.serviceStatusWriter = &serviceStatusWriter{
		store: p.Store, log: b.log, scope: b.scope, writer: cfg.Name, watches: b.configSync.watches, states: b, era: b.eras.Newest,
	}
	b.openDirectory()
	b.agents.Seed = uint64(n.started.UnixNano())
	b.reportedEras = objectapi.NewEras()
	env.Status.Set(b.status)
	return b, nil
}

// openConfigSync creates what keeps the configuration up to date.
func (b *Balancer) openConfigSync() {
	b.configSync = newConfigSync(b.platform, b.log)
	b.configSync.adopt = b.adopt
	b.configSync.before = b.checkersBefore
	b.configSync.living = func() int { return len(b.living()) }
	b.configSync.isAlone = func() bool { return b.hasNoBalancer(time.Now()) }
	b.configSync.propagation = b.propagation
	b.configSync.onChecked = b.gossipNow
	switch {
	case isSeed(b.self, b.seeds()):
		b.configSync.firstRead.decide(true)
	case b.cfg.FirstStart:
		b.configSync.firstRead.decide(false)
	}
}

// openReaders creates what reads the balancers and the evacuations from the object API.
func (b *Balancer) openReaders() {
	b.discovery = b.newDiscovery(b.addDiscovered)
	b.discovery.sampled = b.recordSampled
	b.memberReader = &memberReader{store: b.platform.Store, log: b.log, watches: b.configSync.watches, found: b.addDiscovered}
	b.evacuationReader = &evacuationReader{
		store:      b.platform.Store,
		kind:       cmp.Or(b.platform.EvacuationKind, evacuation.Kind),
		log:        b.log,
		shouldRead: b.readsEvacuations,
		known:      b.knownEvacuations,
		adopt:      b.applyReadEvacuations,
		firstRead:  b.configSync.firstRead,
	}
	if b.platform.EvacuationStore != nil {
		b.evacuationReader.store = b.platform.EvacuationStore
	}
}

// openRefusals creates the log of refusals, whose records another balancer may write.
func (b *Balancer) openRefusals() {
	b.handover = &refusalHandover{self: b.self, client: &http.Client{Timeout: fetchTimeout}, living: b.writerCandidates}
	b.refusals = refusal.NewLog(refusal.Config{
		Process:     b.cfg.Name,
		Incarnation: uint64(b.started.UnixNano()),
		Store:       b.platform.Store,
		Eras:        b.eras,
		Mirror:      b.handover,
		MirrorDelay: refusalDelay,
		HandsOver:   b.handover.handsOver,
		Retain:      refusalRetain,
		Logger:      b.log,
		Scope:       b.scope,
	})
	b.handover.log = b.refusals
}

// writerCandidates returns the living balancers, this one included, with their read capacity.
func (b *Balancer) writerCandidates() []recording.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []recording.Candidate{{Address: b.self, Capacity: b.ownReadCapacity()}}
	for _, a := range b.balancers.Living(time.Now()) {
		out = append(out, recording.Candidate{Address: a, Capacity: b.readCapacity[a]})
	}
	return out
}

// adopt applies a configuration, the first one only when the evacuations are known: without them, flows would go to
// evacuated data centres.
func (b *Balancer) adopt(c configuration.Configuration) {
	t := routing.NewTable(c)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.core.Evacuations().Known() {
		b.pendingRoutes = t
		return
	}
	b.applyRoutes(time.Now(), t)
}

// applyRoutes applies a configuration. b.mu is held.
func (b *Balancer) applyRoutes(now time.Time, t *routing.Table) {
	if !b.core.SetRoutes(now, t) {
		return
	}
	b.alarm.schedule(b.core.Deadline())
	b.sendHealthPaths(now)
	b.log.Warn().Str("op", "adopt-configuration").Uint64("configuration", configuration.DisplayVersion(t.Version())).Str("label", t.Label()).
		Int("routes", t.Len()).Msg("the configuration is in force")
}

// fromCaller receives a packet that a router sent.
func (b *Balancer) fromCaller(_ netip.AddrPort, raw []byte) {
	s, err := b.platform.Codec.Decode(raw)
	if err != nil {
		b.out.malformed.Inc(1)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.FromCaller(time.Now(), s)
	b.alarm.schedule(b.core.Deadline())
}

// fromDaemon receives a message of an agent or a balancer.
func (b *Balancer) fromDaemon(from netip.AddrPort, raw []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &b.message
	m.Reset()
	if err := m.UnmarshalVTUnsafe(raw); err != nil {
		b.out.malformed.Inc(1)
		return
	}
	b.received.count(m.Kind, len(raw))
	now := time.Now()
	if m.Kind == dsrpb.Kind_KIND_GOSSIP {
		b.fromBalancer(now, from, m)
		return
	}
	if m.Announcement != nil {
		b.agents.Add(now, from)
		b.agents.SetSendInterval(from, milliseconds(m.Announcement.IntervalMs))
		b.recordOpenFlows(now, m.Announcement)
	}
	if b.agents.MarkSeen(now, from) {
		b.regainedAgents = append(b.regainedAgents, from)
	}
	b.core.FromAgent(now, from, m)
	if m.Kind == dsrpb.Kind_KIND_ANNOUNCE {
		b.welcome(now, from, m.Service, m.Announcement)
	}
	b.alarm.schedule(b.core.Deadline())
}

// tick fires the timers that are due and returns the time of the next call.
func (b *Balancer) tick() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Tick(time.Now())
	b.alarm.next = b.core.Deadline()
	return b.alarm.next
}

// serveBalancers serves the configuration to other balancers, and takes their refusal records.
func (b *Balancer) serveBalancers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+configurationPath, b.configSync)
	mux.Handle("POST "+refusalPath, b.handover)
	return serveHTTP(ctx, b.self.String(), mux)
}

// noTargets rejects targets that call a balancer.
type noTargets struct{}
