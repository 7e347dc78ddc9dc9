package dispatch_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Sizes and times of the deployment with long flows.
const (
	dataCentres       = 3
	balancersPerPlace = 2
	longTargets       = 37
	longCallers       = 1200
	longWork          = 26 * time.Millisecond
	longAim           = 200 * time.Millisecond
	callerTimeout     = 1200 * time.Millisecond
	wavePeriod        = 15 * time.Second
	waveSwing         = 0.55
	announceInterval  = time.Second
)

// place is a deployment whose callers send several requests on a flow.
type place struct {
	*simulation
	without   policy.Without
	balancers [dataCentres][]*longBalancer
	targets   []*longTarget
	callers   map[netip.AddrPort]*longCaller
	ports     int
	// since is when counting begins; asked, late and flows count requests and new flows, remote the flows opened at a
	// target of another data centre.
	since                      time.Time
	asked, late, flows, remote int
	// rate is the mean rate of requests of a caller, per second.
	rate float64
}

func dataCentreOf(i int) string { return []string{"dc-1", "dc-2", "dc-3"}[i%dataCentres] }

// newPlace returns a running deployment; pace is the work time of a target as a multiple.
func newPlace(seed uint64, utilization float64, without policy.Without, pace func(i int) float64) *place {
	p := &place{
		simulation: &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))},
		without:    without,
		callers:    make(map[netip.AddrPort]*longCaller),
	}
	var capacity float64
	for i := range longTargets {
		p.addTarget(i, pace(i))
		capacity += 2 / (longWork.Seconds() * pace(i))
	}
	p.rate = utilization * capacity / longCallers
	for i := range dataCentres * balancersPerPlace {
		p.addBalancer(i)
	}
	for _, t := range p.targets {
		p.after(time.Duration(p.random.Int64N(int64(announceInterval))), func() { p.every(announceInterval, t.announce) })
	}
	p.every(tickInterval, p.tick)
	p.run(p.now.Add(2 * announceInterval))
	for i := range longCallers {
		c := &longCaller{p: p, place: i % dataCentres}
		p.after(time.Duration(p.random.Int64N(int64(time.Second))), c.begin)
	}
	return p
}

func (p *place) tick() {
	for _, list := range p.balancers {
		for _, b := range list {
			b.core.Tick(p.now)
			b.core.MarkRunning(p.now)
		}
	}
	for _, t := range p.targets {
		t.table.Tick(p.now)
	}
}

// wave is the current demand of a data centre's callers as a multiple of the mean.
func (p *place) wave(place int) float64 {
	phase := float64(p.now.Sub(time.Unix(1000, 0)))/float64(wavePeriod) - 0.08*float64(place)
	return 1 + waveSwing*math.Sin(2*math.Pi*phase)
}

// counts reports whether counting has begun.
func (p *place) counts() bool { return !p.since.IsZero() }

// imbalance is the work of the busiest target as a multiple of the mean, since counting began.
func (p *place) imbalance() float64 {
	var sum, busiest time.Duration
	for _, t := range p.targets {
		sum, busiest = sum+t.worked, max(busiest, t.worked)
	}
	return float64(busiest) * longTargets / float64(sum)
}

type longBalancer struct {
	p     *place
	addr  netip.AddrPort
	place int
	core  *dispatch.Balancer
}

func (p *place) addBalancer(i int) {
	b := &longBalancer{p: p, place: i % dataCentres, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7100)}
	b.core = dispatch.NewBalancer(dispatch.Config{DataCentre: dataCentreOf(i), Without: p.without}, dsrtest.Codec{}, b, p.now)
	b.core.SetRoutes(p.now, routing.NewTable(configuration.Configuration{Version: 1, Routes: []configuration.Route{{
		Destination: services[0].address, Aim: longAim, Timeout: callerTimeout,
		Shares: []configuration.Share{{Service: services[0].name, Weight: 1}},
	}}}))
	p.balancers[b.place] = append(p.balancers[b.place], b)
}

// carry runs do after the delay between two data centres.
func (p *place) carry(from, to int, do func()) {
	delay := 100 * time.Microsecond
	if from != to {
		delay = 500 * time.Microsecond
	}
	p.after(delay, do)
}

func (b *longBalancer) ToAgent(to netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	t := b.p.targets[to.Addr().As4()[3]]
	b.p.carry(b.place, t.place, func() { t.fromBalancer(b, raw) })
}
func (b *longBalancer) Reset(key flow.Key, _ uint32)      { b.p.toCaller(dsrtest.Codec{}.Reset(key, 0)) }
func (b *longBalancer) Refused(dispatch.Refusal)          {}
func (b *longBalancer) Outdated(uint64)                   {}
func (b *longBalancer) SaturationChanged(overload.Status) {}
func (b *longBalancer) Decided(d dispatch.Decision) {
	if d.Event == dispatch.EventPlaced && b.p.counts() {
		b.p.flows++
		if int(d.Agent.Addr().As4()[3])%dataCentres != b.place {
			b.p.remote++
		}
	}
}

func (p *place) toCaller(raw []byte) {
	raw = append([]byte(nil), raw...)
	p.after(time.Millisecond, func() {
		s, err := (dsrtest.Codec{}).Decode(raw)
		if c := p.callers[s.Destination]; err == nil && c != nil {
			c.receive(s)
		}
	})
}

// longTarget is a target of two slots that serves its requests in order of arrival, with its agent.
type longTarget struct {
	p       *place
	place   int
	addr    netip.AddrPort
	table   *ownership.Table
	pace    float64
	beats   uint64
	initial map[netip.AddrPort]uint32
	waiting []segment.Segment
	busy    int
	hangs   bool
	// worked is the work done, offered the times of new flows, both since counting began.
	worked  time.Duration
	offered []time.Time
}

func (p *place) addTarget(i int, pace float64) {
	t := &longTarget{
		p: p, place: i % dataCentres, pace: pace, initial: make(map[netip.AddrPort]uint32),
		addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 7200),
	}
	t.table = ownership.NewTable(ownership.Config{
		Service: services[0].name, HeartbeatInterval: heartbeat, First: true, DataCentre: dataCentreOf(i), Incarnation: uint64(i + 1),
	}, dsrtest.Codec{}, t, p.now)
	p.targets = append(p.targets, t)
	p.every(heartbeat, t.beat)
}

func (t *longTarget) beat() {
	t.beats++
	_, _ = t.table.Announce(t.p.now, announcement.Announcement{ID: t.addr.String(), Service: services[0].name, Slots: 2, Sequence: t.beats})
}

func (t *longTarget) announce() {
	raw, _ := t.table.Announcement(t.p.now, true, announceInterval).MarshalVT()
	for _, list := range t.p.balancers {
		for _, b := range list {
			t.toBalancer(b, raw)
		}
	}
}

func (t *longTarget) toBalancer(b *longBalancer, raw []byte) {
	t.p.carry(t.place, b.place, func() {
		var m dsrpb.Message
		if m.UnmarshalVT(raw) == nil {
			b.core.FromAgent(t.p.now, t.addr, &m)
		}
	})
}

func (t *longTarget) fromBalancer(b *longBalancer, raw []byte) {
	var m dsrpb.Message
	if m.UnmarshalVT(raw) != nil {
		return
	}
	if s, err := (dsrtest.Codec{}).Decode(m.Packet); err == nil {
		t.table.Forward(t.p.now, b.addr, &m, s)
	}
}

func (t *longTarget) ToBalancer(to netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	i := int(to.Addr().As4()[3])
	t.toBalancer(t.p.balancers[i%dataCentres][i/dataCentres], raw)
}
func (t *longTarget) ToCaller(_ flow.Key, raw []byte)        { t.p.toCaller(raw) }
func (t *longTarget) Reset(key flow.Key, _ uint32)           { t.p.toCaller(dsrtest.Codec{}.Reset(key, 0)) }
func (t *longTarget) Decided(ownership.Decision)             {}
func (t *longTarget) HealthChanged(c ownership.HealthChange) { t.p.after(0, t.announce) }
func (t *longTarget) ToTarget(raw []byte) {
	raw = append([]byte(nil), raw...)
	t.p.after(50*time.Microsecond, func() { t.receive(raw) })
}

func (t *longTarget) receive(raw []byte) {
	s, err := (dsrtest.Codec{}).Decode(raw)
	if err != nil {
		return
	}
	switch {
	case s.IsOpening():
		if t.p.counts() {
			t.offered = append(t.offered, t.p.now)
		}
		t.p.initial += initialStep
		t.initial[s.Source] = t.p.initial
		t.send(s, segment.SYN|segment.ACK, t.p.initial, nil)
	case s.Has(segment.FIN):
		t.send(s, segment.FIN|segment.ACK, s.Acknowledgement, nil)
	case s.Length > 0:
		t.waiting = append(t.waiting, s)
		t.work()
	}
}

// work starts waiting requests while slots are free, unless the target hangs.
func (t *longTarget) work() {
	for len(t.waiting) > 0 && t.busy < 2 && !t.hangs {
		s := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.busy++
		took := time.Duration(t.pace * float64(longWork) * math.Exp(0.47*t.p.random.NormFloat64()-0.11))
		if t.p.counts() {
			t.worked += took
		}
		t.p.after(took, func() {
			t.busy--
			t.send(s, segment.ACK, s.Acknowledgement, dsrtest.Data(s.Raw))
			t.work()
		})
	}
}

func (t *longTarget) send(s segment.Segment, flags segment.Flags, sequence uint32, data []byte) {
	raw := dsrtest.Encode(dsrtest.Packet{Source: s.Destination, Destination: s.Source, Flags: flags, Sequence: sequence, Data: data})
	if s, err := (dsrtest.Codec{}).Decode(raw); err == nil {
		t.table.FromTarget(t.p.now, s)
	}
}

// longCaller sends one request after the other, several on a flow.
type longCaller struct {
	p       *place
	place   int
	source  netip.AddrPort
	hash    uint64
	ack     uint32
	sent    uint32
	left    int
	asking  bool
	started time.Time
}

// begin begins a request, on a new flow if the last one has ended.
func (c *longCaller) begin() {
	c.asking, c.started = true, c.p.now
	started := c.started
	c.p.after(callerTimeout, func() {
		if c.asking && c.started.Equal(started) {
			c.finish()
			c.left = 0
		}
	})
	if c.left > 0 {
		c.request()
		return
	}
	delete(c.p.callers, c.source)
	c.p.ports++
	c.left, c.sent = 1+int(c.p.random.ExpFloat64()*6), 8
	c.source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(c.p.ports>>24), byte(c.p.ports >> 16), byte(c.p.ports >> 8)}), uint16(1000+c.p.ports&255))
	c.hash = c.p.random.Uint64()
	c.p.callers[c.source] = c
	c.send(dsrtest.Packet{Flags: segment.SYN, Sequence: 7})
}

func (c *longCaller) request() {
	c.left--
	c.send(dsrtest.Packet{Flags: segment.ACK, Sequence: c.sent, Acknowledgement: c.ack, Data: []byte("GET")})
	c.sent += 3
}

func (c *longCaller) send(packet dsrtest.Packet) {
	packet.Source, packet.Destination = c.source, services[0].address
	raw := dsrtest.Encode(packet)
	b := c.p.balancers[c.place][c.hash%balancersPerPlace]
	c.p.after(time.Millisecond, func() {
		if s, err := (dsrtest.Codec{}).Decode(raw); err == nil {
			b.core.FromCaller(c.p.now, s)
		}
	})
}

func (c *longCaller) receive(s segment.Segment) {
	switch {
	case s.Source != services[0].address || !c.asking:
	case s.Has(segment.RST):
		c.finish()
		c.left = 0
	case s.Has(segment.SYN):
		c.ack = s.Sequence + 1
		c.request()
	case s.Length > 0:
		c.ack += uint32(s.Length)
		c.finish()
	}
}

// finish counts the request, ends the flow after its last one, and begins the next request after a pause.
func (c *longCaller) finish() {
	c.asking = false
	if c.p.counts() {
		c.p.asked++
		if c.p.now.Sub(c.started) > longAim {
			c.p.late++
		}
	}
	if c.left == 0 || c.p.now.Sub(c.started) >= callerTimeout {
		c.send(dsrtest.Packet{Flags: segment.FIN | segment.ACK, Sequence: c.sent, Acknowledgement: c.ack})
	}
	pause := c.p.random.ExpFloat64() / (c.p.rate * c.p.wave(c.place))
	c.p.after(time.Duration(pause*float64(time.Second)), c.begin)
}
