package dsrd

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Times of an agent's start and end.
const (
	// minDrainTime is how long an agent runs after it has announced to the balancers that it leaves, so that opening
	// packets in flight still get an answer.
	minDrainTime = 300 * time.Millisecond
	// unfinishedWithin is how recent the last packet of a flow must be for the agent to wait for its end.
	unfinishedWithin = 700 * time.Millisecond
	// isolatedAfter is how long an agent may receive nothing from any balancer until it counts itself as isolated:
	// balancers answer four times a second or more, a single one every 0.75 s. A false positive costs an announcement
	// to each balancer.
	isolatedAfter = 2 * time.Second
	// answerTime is how long after an announcement a welcome message counts as its answer.
	answerTime = time.Second
)

// Agent is the daemon beside one target of a pass-through service.
type Agent struct {
	*node
	cfg      settings.DSRAgent
	target   netip.AddrPort
	outbound *socket
	out      *agentOutput

	// table and the fields below are guarded by node.mu.
	table   *ownership.Table
	probing bool
	// checking is set while health checks are sent to tell which process of the target runs, runsOn is the last one that was found
	// running after its deregistration. healthPath is the path of the health check, empty until a balancer has named it.
	checking   bool
	runsOn     string
	healthPath string
	// lastSeen is when a message of any balancer was last received.
	lastSeen time.Time
	// state is the last logged state of the target.
	state dsrpb.State
	// rejections counts the rejected reports by reason.
	rejections map[announcement.Reason]uint64
	message    dsrpb.Message
	// evacuations are the data centres that take no new flows, as balancers report them.
	evacuations evacuation.Set
}

// NewAgent binds the sockets of an agent.
func NewAgent(cfg settings.DSRAgent, p Platform, env telemetry.Env) (*Agent, error) {
	n, err := newNode(cfg.DSRProcess, p, env)
	if err != nil {
		return nil, err
	}
	n.messages = n.packets
	a := &Agent{node: n, cfg: cfg, rejections: make(map[announcement.Reason]uint64)}
	if a.target, err = netip.ParseAddrPort(cfg.TargetAddress); err != nil {
		return nil, trace.Wrap(err, "reading target_address")
	}
	outbound, err := netip.ParseAddrPort(cfg.OutboundAddress)
	if err != nil {
		return nil, trace.Wrap(err, "reading outbound_address")
	}
	if a.outbound, err = listenUDP(outbound, env); err != nil {
		return nil, err
	}
	a.out = newAgentOutput(a)
	a.table = ownership.NewTable(ownership.Config{
		Name:              cfg.Name,
		Region:            cfg.Region,
		DataCentre:        cfg.DataCentre,
		Service:           cfg.Service,
		Incarnation:       uint64(n.started.UnixNano()),
		Target:            a.target,
		HeartbeatInterval: cfg.HeartbeatInterval.Duration(),
		First:             cfg.FirstStart,
	}, p.Codec, a.out, n.started)
	env.Status.Set(a.status)
	return a, nil
}

// Run runs the agent. When ctx ends it takes no new flows, forwards until the open ones have ended, and returns.
func (a *Agent) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(a.runCtx)
	defer a.cancel()
	defer a.logTotals()
	g.Go(func() error { return a.packets.read(run, a.fromDaemon) })
	g.Go(func() error { return a.outbound.read(run, a.fromTarget) })
	g.Go(func() error { return a.alarm.run(run, a.tick) })
	g.Go(func() error { return every(run, sendInterval, a.announce) })
	g.Go(func() error { return a.newDiscovery(a.addDiscovered).run(run) })
	g.Go(func() error { return serveHTTP(run, a.cfg.AnnounceAddress, a.platform.TargetHandler(a)) })
	g.Go(func() error { return serveHTTP(run, a.cfg.ReadyAddress, a.platform.ReadyHandler(a.ready)) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.drain(run)
		case <-run.Done():
		}
		a.cancel()
		return nil
	})
	err := g.Wait()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err, "running the agent")
}

// drain stops new flows, announces that and waits until the open flows have ended.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.stopping = true
	a.table.Leave(time.Now())
	a.announceNow(time.Now())
	a.mu.Unlock()
	began := time.Now()
	end := began.Add(a.cfg.GraceTime.Duration() - stopMargin)
	for time.Now().Before(end) {
		if wait.For(ctx, minDrainTime/6) != nil {
			return
		}
		a.mu.Lock()
		open := a.table.Unfinished(time.Now(), unfinishedWithin)
		a.mu.Unlock()
		if open == 0 && time.Since(began) >= minDrainTime {
			return
		}
	}
}

// fromDaemon receives a message of a balancer.
func (a *Agent) fromDaemon(from netip.AddrPort, raw []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &a.message
	m.Reset()
	if err := m.UnmarshalVTUnsafe(raw); err != nil {
		a.out.malformed.Inc(1)
		return
	}
	a.received.count(m.Kind, len(raw))
	now := time.Now()
	a.recordSeen(now, from, m)
	switch m.Kind {
	case dsrpb.Kind_KIND_FORWARD:
		s, err := a.platform.Codec.Decode(m.Packet)
		if err != nil {
			a.out.malformed.Inc(1)
			return
		}
		a.table.Forward(now, from, m, s)
	case dsrpb.Kind_KIND_LOCATE:
		a.table.Locate(now, from, m)
	case dsrpb.Kind_KIND_WELCOME:
		a.receiveEvacuations(now, m.Evacuations)
		a.receiveWelcome(now, from, m.Roster)
	}
	a.alarm.schedule(a.table.Deadline())
}

// recordSeen records a message of a balancer. One that is new, or was silent, gets an announcement at once, unless it has
// one or asks for one; after a time without any message all of them do, since they may have evicted the agent. a.mu is held.
func (a *Agent) recordSeen(now time.Time, from netip.AddrPort, m *dsrpb.Message) {
	isolated := !a.lastSeen.IsZero() && now.Sub(a.lastSeen) > isolatedAfter
	a.lastSeen = now
	if a.balancers.MarkSeen(now, from) {
		a.recordRegained(from)
		if !m.GetRoster().GetAsk() && !a.isAnswer(now, from, m) {
			a.announceTo(now, from)
		}
	}
	if isolated {
		a.announceNow(now)
	}
}

// isAnswer reports whether a balancer's message answers an announcement. a.mu is held.
func (a *Agent) isAnswer(now time.Time, from netip.AddrPort, m *dsrpb.Message) bool {
	return m.Kind == dsrpb.Kind_KIND_WELCOME && now.Sub(a.balancers.LastSent(from)) < answerTime
}

// receiveWelcome applies a balancer's answer to an announcement. a.mu is held.
func (a *Agent) receiveWelcome(now time.Time, from netip.AddrPort, r *dsrpb.Roster) {
	if r == nil {
		return
	}
	if r.Ask {
		// The balancer has lost its state, for example in a restart too short for this agent to notice.
		a.announceTo(now, from)
	}
	a.table.Usual(r.Usual)
	a.balancers.SetRequestedInterval(from, milliseconds(r.IntervalMs))
	if a.addBalancers(now, decodeAddresses(r.Balancers)) {
		// Balancers known before get an announcement when it is due: notifying all of them for each new one would take a
		// number of messages that grows with the square of their number.
		a.announceDue(now)
	}
	if r.HealthPath == "" {
		return
	}
	if a.healthPath != r.HealthPath {
		// The message refers to the receive buffer.
		a.healthPath = strings.Clone(r.HealthPath)
	}
	a.awaitProof()
	if a.probing || !a.mayProbe(now) {
		return
	}
	a.probing = true
	go a.probe(a.runCtx, a.healthPath)
}

// receiveEvacuations applies the evacuations that a balancer reports. When they concern the agent's own data centre,
// the balancers are notified at once. a.mu is held.
func (a *Agent) receiveEvacuations(now time.Time, m *dsrpb.Evacuations) {
	s := decodeEvacuations(m)
	if !s.Replaces(a.evacuations) {
		return
	}
	a.evacuations = s
	if !a.table.SetEvacuated(now, s.Contains(a.cfg.DataCentre)) {
		return
	}
	a.log.Warn().Str("op", "adopt-evacuations").Uint64("version", s.Version).Bool("evacuated", a.table.Evacuated()).
		Int("flows", a.table.Flows()).Msg("evacuation of the data centre changed")
	a.state = a.table.State(now)
	a.announceNow(now)
}

// fromTarget receives a packet that the target sent.
func (a *Agent) fromTarget(_ netip.AddrPort, raw []byte) {
	s, err := a.platform.Codec.Decode(raw)
	if err != nil {
		a.out.malformed.Inc(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now, ended := time.Now(), a.table.TargetEnded()
	a.table.FromTarget(now, s)
	if ended {
		a.targetHeardAgain(now)
	}
	a.alarm.schedule(a.table.Deadline())
}

// tick fires the timers that are due and returns the time of the next call.
func (a *Agent) tick() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Tick(time.Now())
	a.alarm.next = a.table.Deadline()
	return a.alarm.next
}

// ready returns why the agent cannot serve, or nil.
func (a *Agent) ready() error {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.stopping:
		return errors.New("stopping")
	case !a.balancers.AnyAlive(now):
		return errors.New("no balancer is alive")
	case a.table.Evacuated():
		return errors.New("the data centre is evacuated")
	case a.table.State(now) != dsrpb.State_STATE_READY:
		return errors.New("the target is not ready")
	}
	return nil
}
