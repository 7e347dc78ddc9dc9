package ownership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

var (
	start    = time.Unix(1000, 0)
	balancer = netip.MustParseAddrPort("10.1.0.1:7100")
	service  = netip.MustParseAddrPort("198.18.0.1:443")
)

// sent is one message to a balancer.
type sent struct {
	to         netip.AddrPort
	kind       dsrpb.Kind
	verdict    dsrpb.Verdict
	packet     []byte
	busy       uint32
	hasInitial bool
	initial    uint32
	// newest and holdings are the statement about all flows.
	newest   uint32
	holdings *dsrpb.Holdings
}

// recorder records a table's output.
type recorder struct {
	target, caller [][]byte
	resets         []flow.Key
	messages       []sent
	decisions      []Decision
	healthChanges  []HealthChange
}

func (r *recorder) ToTarget(raw []byte) { r.target = append(r.target, append([]byte(nil), raw...)) }
func (r *recorder) ToCaller(_ flow.Key, raw []byte) {
	r.caller = append(r.caller, append([]byte(nil), raw...))
}
func (r *recorder) Reset(key flow.Key, _ uint32) { r.resets = append(r.resets, key) }
func (r *recorder) Decided(d Decision)           { r.decisions = append(r.decisions, d) }
func (r *recorder) HealthChanged(j HealthChange) { r.healthChanges = append(r.healthChanges, j) }
func (r *recorder) ToBalancer(to netip.AddrPort, m *dsrpb.Message) {
	r.messages = append(r.messages, sent{
		to: to, kind: m.Kind, verdict: m.Verdict, packet: append([]byte(nil), m.Packet...), busy: m.Busy,
		hasInitial: m.HasSequence, initial: m.Reference, newest: m.NewestQuestion, holdings: m.Holdings,
	})
}

// last returns the last message to a balancer and clears all.
func (r *recorder) last(t *testing.T) sent {
	t.Helper()
	require.NotEmpty(t, r.messages)
	m := r.messages[len(r.messages)-1]
	r.messages = nil
	return m
}

func caller(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))
}

func keyOfCaller(port int) flow.Key {
	return flow.Key{Source: caller(port), Destination: service, Protocol: flow.ProtocolTCP}
}

// fixture is a table with a ready target of two slots.
type fixture struct {
	*testing.T
	table *Table
	out   *recorder
	now   time.Time
	beat  uint64
}

func newFixture(t *testing.T, cfg Config) *fixture {
	f := &fixture{T: t, out: &recorder{}, now: start, beat: 4}
	f.table = newTestTable(f, cfg)
	f.announce(announcement.Ready)
	return f
}

// newTestTable returns a table whose target has sent no report.
func newTestTable(f *fixture, cfg Config) *Table {
	cfg.Service, cfg.HeartbeatInterval = "route-svc", time.Second
	return NewTable(cfg, dsrtest.Codec{}, f.out, f.now)
}

func (f *fixture) announce(s announcement.State) bool {
	f.beat++
	// Heartbeats of a target that is older than the agent: the first one is not seen.
	return f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, State: s, Sequence: f.beat})
}

// apply passes the table a report of the running process; it returns whether the balancers are to be notified. As in the daemon,
// the process answers a health check when the table asks for one.
func (f *fixture) apply(a announcement.Announcement) bool {
	f.Helper()
	notify, err := f.table.Announce(f.now, a)
	if announcement.IsUnconfirmed(err) || f.table.AwaitsProof(f.now) {
		n := announcement.HealthCheck{ID: a.ID, StartedMs: a.StartedMs, Ready: a.State == announcement.Ready, Began: f.now}
		notify = f.table.HealthChecked(f.now, n) || notify
		_, err = f.table.Announce(f.now, a)
	}
	require.NoError(f, err)
	return notify
}

// probe passes the table a successful health check of a process; it returns whether the balancers are to be notified.
func (f *fixture) probe(id string) bool {
	return f.table.HealthChecked(f.now, announcement.HealthCheck{ID: id, Ready: true, Began: f.now})
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.table.Tick(f.now)
}

// forward passes a caller's packet to the table.
func (f *fixture) forward(p dsrtest.Packet, m *dsrpb.Message) {
	s, err := dsrtest.Codec{}.Decode(dsrtest.Encode(p))
	require.NoError(f, err)
	m.Kind, m.Flow = dsrpb.Kind_KIND_FORWARD, s.CallerKey().Hash()
	if m.Service == "" {
		m.Service = "route-svc"
	}
	f.table.Forward(f.now, balancer, m, s)
}

// opening and closing are packets by which a caller opens and closes a flow.
func opening(port int) dsrtest.Packet {
	return dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.SYN, Sequence: 7}
}

func closing(port int) dsrtest.Packet {
	return dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.FIN | segment.ACK, Acknowledgement: uint32(port)*1000 + 1}
}

func (f *fixture) open(port int) {
	f.forward(opening(port), &dsrpb.Message{Patience: dsrpb.Patience_PATIENCE_QUEUE})
}

func (f *fixture) data(port int, ack uint32, owner bool) {
	f.forward(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.ACK, Acknowledgement: ack, Data: []byte("GET")}, &dsrpb.Message{Owner: owner})
}

func (f *fixture) target(port int, flags segment.Flags, sequence uint32, data string) {
	raw := dsrtest.Encode(dsrtest.Packet{Source: service, Destination: caller(port), Flags: flags, Sequence: sequence, Data: []byte(data)})
	s, err := dsrtest.Codec{}.Decode(raw)
	require.NoError(f, err)
	f.table.FromTarget(f.now, s)
}

// returnPacket returns a caller's packet as the target does.
func (f *fixture) returnPacket(port int, flags segment.Flags) {
	raw := dsrtest.Encode(dsrtest.Packet{Source: caller(port), Destination: service, Flags: flags | segment.Returned, Sequence: 7})
	s, err := dsrtest.Codec{}.Decode(raw)
	require.NoError(f, err)
	f.table.FromTarget(f.now, s)
}

// accept opens a flow up to the target's answer.
func (f *fixture) accept(port int) {
	f.open(port)
	f.target(port, segment.SYN|segment.ACK, uint32(port)*1000, "")
	m := f.out.last(f.T)
	require.Equal(f, dsrpb.Kind_KIND_ACCEPTED, m.kind)
	require.Equal(f, uint32(port)*1000, m.initial)
}

func TestAFlowOpensAndItsPacketsPassUnchanged(t *testing.T) {
	f := newFixture(t, Config{})
	f.accept(1)
	f.data(1, 1001, true)
	require.Len(t, f.out.target, 2)
	require.Equal(t, "GET", string(dsrtest.Data(f.out.target[1])))
	f.target(1, segment.ACK, 1001, "200")
	require.Len(t, f.out.caller, 2)
	require.Equal(t, "200", string(dsrtest.Data(f.out.caller[1])))
	require.Zero(t, f.table.Busy(), "the request has been answered")
	f.forward(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.FIN, Acknowledgement: 1001}, &dsrpb.Message{Owner: true})
	f.target(1, segment.FIN, 1004, "")
	f.pass(EndedLinger + 2*sweepInterval)
	require.Zero(t, f.table.Flows())
}

func TestNewFlowsAreDeclinedWithTheReason(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		message *dsrpb.Message
		want    dsrpb.Verdict
	}{
		{"wrong service", func(*fixture) {}, &dsrpb.Message{Service: "reports-svc"}, dsrpb.Verdict_VERDICT_WRONG_SERVICE},
		{"draining target", func(f *fixture) { f.announce(announcement.Draining) }, &dsrpb.Message{}, dsrpb.Verdict_VERDICT_LEAVING},
		{"target that has left", func(f *fixture) {
			require.NoError(f, f.table.TargetLeft(f.now, announcement.Deregistration{ID: "i-1"}))
		}, &dsrpb.Message{}, dsrpb.Verdict_VERDICT_LEAVING},
		{"leaving agent", func(f *fixture) { f.table.Leave(f.now) }, &dsrpb.Message{}, dsrpb.Verdict_VERDICT_LEAVING},
		{"missed heartbeats", func(f *fixture) { f.now = f.now.Add(4 * time.Second) }, &dsrpb.Message{}, dsrpb.Verdict_VERDICT_LEAVING},
		{"balancer with an old configuration", func(f *fixture) { f.table.configuration = 9 }, &dsrpb.Message{Configuration: 8}, dsrpb.Verdict_VERDICT_STALE},
		{"no free slot", func(f *fixture) { f.accept(1); f.accept(2); f.accept(3) }, &dsrpb.Message{}, dsrpb.Verdict_VERDICT_BUSY},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			c.prepare(f)
			before := len(f.out.target)
			f.forward(dsrtest.Packet{Source: caller(9), Destination: service, Flags: segment.SYN}, c.message)
			require.Equal(t, c.want, f.out.last(t).verdict)
			require.Len(t, f.out.target, before, "the target gets nothing")
		})
	}
}

func TestALateAnnouncementOfAnEarlierProcessChangesNothing(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(announcement.Announcement{ID: "i-2", Service: "route-svc", Slots: 2, Sequence: 1})
	notify, err := f.table.Announce(f.now, announcement.Announcement{ID: "i-1", Service: "route-svc", State: announcement.Draining, Sequence: 90})
	require.Error(t, err)
	require.False(t, notify)
	require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now))
}

func TestADelayedReadyDoesNotEndADrain(t *testing.T) {
	f := newFixture(t, Config{})
	late := f.beat + 1
	f.beat++
	require.True(t, f.announce(announcement.Draining))
	require.False(t, f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, Sequence: late}))
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
}

func TestARestartedAgentDeclinesFlowsUntilItsTargetReports(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = NewTable(Config{Service: "route-svc", HeartbeatInterval: time.Second}, dsrtest.Codec{}, f.out, f.now)
	f.open(1)
	require.Equal(t, dsrpb.Verdict_VERDICT_LEAVING, f.out.last(t).verdict)
	require.True(t, f.probe("i-1"), "a successful health check is enough")
	f.open(1)
	require.Len(t, f.out.target, 1)
	f.announce(announcement.Draining)
	require.False(t, f.probe("i-1"), "a late health check does not end a drain")
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
}

func TestAReturnedOpeningPacketGoesBackToTheBalancer(t *testing.T) {
	f := newFixture(t, Config{})
	f.open(1)
	f.returnPacket(1, segment.SYN)
	m := f.out.last(t)
	require.Equal(t, dsrpb.Verdict_VERDICT_BUSY, m.verdict)
	require.Empty(t, f.out.caller, "a returned packet is not sent to its caller")
	require.Zero(t, f.table.Busy())
}

func TestASilentTargetIsDetectedAtOnceAndRetried(t *testing.T) {
	f := newFixture(t, Config{})
	f.open(1)
	f.pass(OfferTimeout)
	require.Equal(t, dsrpb.Verdict_VERDICT_SILENT, f.out.last(t).verdict)
	f.open(2)
	require.Equal(t, dsrpb.Verdict_VERDICT_SILENT, f.out.last(t).verdict, "the next flow is declined at once")
	require.Len(t, f.out.target, 1)
	f.pass(SilentRetryInterval)
	f.open(3)
	require.Len(t, f.out.target, 2, "one flow is offered as a probe")
	f.target(3, segment.SYN|segment.ACK, 3000, "")
	f.open(4)
	require.Len(t, f.out.target, 3)
}

func TestARestartedAgentRecoversItsTargetsFlows(t *testing.T) {
	f := newFixture(t, Config{})
	f.data(1, 1001, true)
	require.Len(t, f.out.target, 1, "the balancer names the target as the owner")
	f.announce(announcement.Ready)
	f.pass(ProbeTimeout)
	require.Equal(t, dsrpb.Kind_KIND_ACCEPTED, f.out.last(t).kind, "a packet that a running target does not return belongs to it")
	f.target(2, segment.ACK, 50, "tail")
	require.Len(t, f.out.caller, 1, "a packet of the target reveals another flow")
	f.data(2, 55, false)
	require.Len(t, f.out.target, 2)
}

// A target that has stopped returns nothing. An agent that took its silence for ownership drew the packets of a flow of
// another, living target.
func TestASilentTargetDoesNotClaimAProbedFlow(t *testing.T) {
	cases := []struct {
		name  string
		table func(f *fixture) *Table
	}{
		{"the target has not announced itself", func(f *fixture) *Table { return newTestTable(f, Config{}) }},
		{"the target stopped after its last heartbeat", func(f *fixture) *Table { f.pass(ProbeTimeout); return f.table }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			f.table = c.table(f)
			f.data(1, 1001, true)
			require.Len(t, f.out.target, 1)
			for range 10 {
				f.pass(ProbeTimeout)
			}
			require.Empty(t, f.out.messages, "silence is no evidence that the target holds the flow")
			f.target(1, segment.ACK, 1001, "answer")
			require.Equal(t, dsrpb.Kind_KIND_ACCEPTED, f.out.last(t).kind, "an answer is")
		})
	}
}

func TestAFlowThatTheTargetReturnsIsNeverPassedToItAgain(t *testing.T) {
	f := newFixture(t, Config{})
	f.data(1, 1001, true)
	f.returnPacket(1, segment.ACK)
	m := f.out.last(t)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, m.verdict)
	require.NotEmpty(t, m.packet)
	s, err := dsrtest.Codec{}.Decode(m.packet)
	require.NoError(t, err)
	require.False(t, s.Has(segment.Returned), "the packet is what its sender wrote")
	f.data(1, 1001, true)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
	require.Len(t, f.out.target, 1)
}

func TestAForeignOpenFlowIsNotPassedToTheTarget(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.data(1, 1001, true)
	m := f.out.last(t)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, m.verdict, "no flow is older than the first agent")
	require.NotEmpty(t, m.packet)
	f.accept(2)
	f.data(2, 4_000_000_000, true)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict, "the caller acknowledges another target's number")
	require.Len(t, f.out.target, 1)
}

// A long answer moves the caller's acknowledgement far from the initial sequence number.
func TestALongFlowStaysWithItsTarget(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.accept(1)
	for ack := uint32(1001); ack < 3_000_000_000; ack += 100_000 {
		f.data(1, ack, true)
	}
	for _, m := range f.out.messages {
		require.NotEqual(t, dsrpb.Verdict_VERDICT_NOT_HELD, m.verdict)
	}
}

func TestAFlowThatItsTargetLostIsResetOnce(t *testing.T) {
	f := newFixture(t, Config{})
	f.accept(1)
	f.data(1, 1001, true)
	f.target(1, segment.ACK, 1001, "200")
	f.data(1, 1004, true)
	f.returnPacket(1, segment.ACK)
	require.Equal(t, []flow.Key{keyOfCaller(1)}, f.out.resets)
	require.Equal(t, dsrpb.Verdict_VERDICT_RESET, f.out.last(t).verdict, "the balancer is notified, for its records")
	f.accept(2)
	f.data(2, 2001, true)
	f.returnPacket(2, segment.ACK)
	require.Len(t, f.out.resets, 1, "a flow that may have opened elsewhere is not reset")
}

func TestQueuedFlowsAreOfferedWhenSlotsBecomeFree(t *testing.T) {
	f := newFixture(t, Config{})
	for port := range 6 {
		f.open(port + 1)
	}
	require.Len(t, f.out.target, 3, "two slots and one extra request")
	require.Equal(t, 6, f.table.Busy())
	f.target(1, segment.SYN|segment.ACK, 1000, "")
	f.data(1, 1001, true)
	f.target(1, segment.ACK, 1001, "200")
	require.Len(t, f.out.target, 5, "the request and the next queued flow")
	f.announce(announcement.Draining)
	left := 0
	for _, m := range f.out.messages {
		if m.verdict == dsrpb.Verdict_VERDICT_LEAVING {
			left++
		}
	}
	require.Equal(t, 2, left, "the rest is returned when the target leaves")
}

func TestACallerThatNeverSendsItsRequestFreesTheSlot(t *testing.T) {
	f := newFixture(t, Config{})
	f.accept(1)
	f.accept(2)
	f.accept(3)
	require.Equal(t, 3, f.table.Busy())
	f.pass(HalfOpenTimeout)
	require.Zero(t, f.table.Busy())
	f.data(1, 1001, true)
	require.Equal(t, 1, f.table.Busy(), "a late request is work again")
}

func TestACallerThatLeavesTheQueueIsRemoved(t *testing.T) {
	f := newFixture(t, Config{})
	for port := range 5 {
		f.open(port + 1)
	}
	f.forward(dsrtest.Packet{Source: caller(5), Destination: service, Flags: segment.RST}, &dsrpb.Message{})
	f.pass(sweepInterval)
	for port := range 4 {
		f.target(port+1, segment.SYN|segment.ACK, 1, "")
	}
	f.pass(2 * EndedLinger)
	require.Zero(t, f.table.queue.Len())
}

// An agent that ran when its target's process started has seen all of the target's flows, also when other agents were
// restarted: it must not pass packets of other targets' flows to a target that has just started. The first announcement
// alone is no proof: an earlier agent may have given the target a flow before it, and a balancer that is told otherwise
// resets that flow.
func TestAnAgentKnowsAllFlowsOnlyWhenItSawItsTargetStart(t *testing.T) {
	const held, unknown = dsrpb.Verdict_VERDICT_NOT_HELD, dsrpb.Verdict_VERDICT_UNKNOWN
	for _, c := range []struct {
		name string
		// ran is how long the agent ran before it got the announcement, age the time from the target's start to that of
		// the agent; reported says whether the announcement names the target's start.
		ran      time.Duration
		age      time.Duration
		reported bool
		sequence uint64
		want     dsrpb.Verdict
	}{
		{"the agent ran for long before the first announcement", 3 * time.Second, 0, false, 1, held},
		{"the first announcement comes soon after the agent's start", 0, 0, false, 1, unknown},
		{"an earlier agent may have given it flows before its first announcement", 300 * time.Millisecond, 400 * time.Millisecond, true, 1, unknown},
		{"both start after a loss of power", 50 * time.Millisecond, 30 * time.Millisecond, true, 1, held},
		{"both start after a loss of power and the first announcement is lost", 1100 * time.Millisecond, 30 * time.Millisecond, true, 2, held},
		{"a health check finds a target that started with the agent", 50 * time.Millisecond, 0, true, 0, held},
		{"a health check finds an older target", 50 * time.Millisecond, time.Minute, true, 0, unknown},
		{"a later announcement that names no start", 3 * time.Second, 0, false, 2, unknown},
		{"the wall clock was set back before the agent's start", 50 * time.Millisecond, -time.Minute, true, 40, unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fixture{T: t, out: &recorder{}, now: start}
			f.table = newTestTable(f, Config{})
			f.pass(c.ran)
			n := announcement.Announcement{ID: "i-2", Service: "route-svc", Slots: 2, Sequence: c.sequence}
			if c.reported {
				n.StartedMs = uint64(start.Add(-c.age).UnixMilli())
			}
			f.apply(n)
			f.table.Locate(f.now, balancer, locate(keyOfCaller(1)))
			require.Equal(t, c.want, f.out.last(t).verdict)
		})
	}
}

// Knowledge of one process of the target says nothing about the next one.
func TestTheNextProcessOfTheTargetIsJudgedAnew(t *testing.T) {
	f := &fixture{T: t, out: &recorder{}, now: start}
	f.table = newTestTable(f, Config{})
	at := func(after time.Duration) uint64 { return uint64(start.Add(after).UnixMilli()) }
	f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, Sequence: 1, StartedMs: at(0)})
	f.table.Locate(f.now, balancer, locate(keyOfCaller(1)))
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
	// A process that is older than the one before cannot replace it: this one names a later start and a high number.
	f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, Sequence: 30, StartedMs: at(time.Millisecond)})
	f.table.Locate(f.now, balancer, locate(keyOfCaller(1)))
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.out.last(t).verdict)
}

// One answer carries the verdicts on all flows of a question, each with the number of its question.
func TestAnswerToSeveralQueries(t *testing.T) {
	f := newFixture(t, Config{})
	f.accept(1)
	m := locate(keyOfCaller(2))
	m.Reference = 7
	for port := range 3 {
		q := &dsrpb.FlowQuery{Reference: uint32(10 + port)}
		q.SetKey(keyOfCaller(port + 1))
		m.Queries = append(m.Queries, q)
	}
	var got dsrpb.Message
	f.table.out = answerOutput{discard{}, &got}
	f.table.Locate(f.now, balancer, m)
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, got.Verdict)
	require.EqualValues(t, 7, got.Reference)
	require.Len(t, got.Queries, 3)
	require.Equal(t, dsrpb.Verdict_VERDICT_HELD, got.Queries[0].Verdict)
	require.True(t, got.Queries[0].HasSequence)
	for port, q := range got.Queries[1:] {
		key, ok := q.Key()
		require.True(t, ok)
		require.Equal(t, keyOfCaller(port+2), key)
		require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, q.Verdict)
		require.EqualValues(t, 11+port, q.Reference)
	}
}

// A probed flow whose target is silent is neither held nor known not to be held.
func TestAProbedFlowStaysUnknown(t *testing.T) {
	f := newFixture(t, Config{})
	f.forward(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.ACK, Acknowledgement: 1, Data: []byte("x")}, &dsrpb.Message{Owner: true})
	f.now = f.now.Add(MaxFlowAge + 1)
	f.table.Locate(f.now, balancer, locate(keyOfCaller(1)))
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.out.last(t).verdict)
}

// answerOutput keeps the last message to a balancer.
type answerOutput struct {
	discard
	last *dsrpb.Message
}

func (o answerOutput) ToBalancer(_ netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	_ = o.last.UnmarshalVT(raw)
}

func TestLocateVerdicts(t *testing.T) {
	ask := func(f *fixture, port int) dsrpb.Verdict {
		key := keyOfCaller(port)
		m := locate(key)
		f.table.Locate(f.now, balancer, m)
		return f.out.last(f.T).verdict
	}
	f := newFixture(t, Config{})
	f.accept(1)
	require.Equal(t, dsrpb.Verdict_VERDICT_HELD, ask(f, 1))
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, ask(f, 2))
	f.now = f.now.Add(MaxFlowAge + 1)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, ask(f, 2), "older flows have ended")
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, ask(newFixture(t, Config{First: true}), 2))
}

func BenchmarkForwardKnownFlow(b *testing.B) {
	table := NewTable(Config{Service: "route-svc", HeartbeatInterval: time.Hour}, dsrtest.Codec{}, discard{}, start)
	_, _ = table.Announce(start, announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 2, Sequence: 2})
	raw := dsrtest.Encode(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.ACK, Acknowledgement: 1, Data: make([]byte, 1200)})
	s, err := dsrtest.Codec{}.Decode(raw)
	require.NoError(b, err)
	m := &dsrpb.Message{Service: "route-svc", Owner: true}
	table.Forward(start, balancer, m, s)
	require.Equal(b, 1, table.Flows())
	b.ReportAllocs()
	for b.Loop() {
		table.Forward(start, balancer, m, s)
	}
}

// discard drops a table's output.
type discard struct{}

func (discard) ToTarget([]byte)                           {}
func (discard) ToCaller(flow.Key, []byte)                 {}
func (discard) Reset(flow.Key, uint32)                    {}
func (discard) ToBalancer(netip.AddrPort, *dsrpb.Message) {}
func (discard) Decided(Decision)                          {}
func (discard) HealthChanged(HealthChange)                {}
