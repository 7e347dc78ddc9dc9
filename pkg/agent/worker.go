package agent

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// maxRow is the highest number of agents in a datagram's row.
const maxRow = 64

// worker handles one datagram at a time and reuses its buffers.
type worker struct {
	a   *Agent
	in  []byte
	out []byte
	msg wire.Datagram
}

func newWorker(a *Agent) *worker {
	return &worker{a: a, in: make([]byte, maxDatagram), out: make([]byte, maxDatagram)}
}

// run reads datagrams until the socket is closed.
func (w *worker) run() error {
	for {
		n, from, err := w.a.conn.ReadFromUDPAddrPort(w.in)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			w.a.receiveFailed(err)
			continue
		}
		w.handle(w.in[:n], unmap(from), w.a.deps.Now())
	}
}

// handle processes a datagram, which may be invalid and come from any sender. It doesn't modify in.
func (w *worker) handle(in []byte, from netip.AddrPort, now time.Time) {
	w.a.metrics.datagrams.Inc(1)
	m := &w.msg
	m.Reset()
	if err := m.UnmarshalVTUnsafe(in); err != nil {
		w.a.metrics.truncated.Inc(1)
		return
	}
	switch m.Kind {
	case wire.Kind_KIND_FORWARD, wire.Kind_KIND_OFFER, wire.Kind_KIND_DECLINED:
		w.packet(m, in, from, now)
	case wire.Kind_KIND_PLACED, wire.Kind_KIND_MOVED, wire.Kind_KIND_ENDED,
		wire.Kind_KIND_LOCATE, wire.Kind_KIND_LOCATED, wire.Kind_KIND_LOAD:
		w.a.control(m, in, from, now)
	default:
		w.a.metrics.unknownKind.Inc(1)
	}
}

// packet validates a datagram with a caller's packet and applies the arbiter's decision on it.
func (w *worker) packet(m *wire.Datagram, in []byte, from netip.AddrPort, now time.Time) {
	if len(m.Row)%wire.AddrSize != 0 || wire.RowLen(m.Row) > maxRow {
		w.a.metrics.foreign.Inc(1)
		return
	}
	info, err := packet.Parse(m.Packet)
	if err != nil {
		w.a.metrics.badPacket.Inc(1)
		return
	}
	m.Packet = m.Packet[:info.Length]
	hash := info.Key.Hash()
	if hash != m.Flow {
		w.a.metrics.badFlow.Inc(1)
		return
	}
	s := w.a.service.Load()
	if !w.isForService(s, m, info, now) {
		return
	}
	if !w.a.isAdmissible(m, info, from, now) {
		w.a.hold(in, from, now)
		return
	}
	d := w.a.arbiter.Packet(now, arbiter.Input{
		Kind:     m.Kind,
		Flow:     hash,
		Opening:  info.Opening,
		Row:      m.Row,
		Position: m.Position,
		Hops:     m.Hops,
		Sender:   from,
		Load:     m.Load,
		Bound:    m.Bound,
		Final:    m.Final,
	})
	w.apply(s, m, info, &d, now)
}

// isForService checks that the packet is for the service that this agent's target announced. A packet that can't be
// checked, because the agent has no view or an older one than the sender, is dropped: the caller's TCP retransmits it.
// A packet of an open flow of another service is dropped too: a balancer with an old view may have sent it to an
// address that now belongs to this agent, and a reset would cut the flow at its owner. Only opening packets are
// refused.
func (w *worker) isForService(s *service, m *wire.Datagram, info packet.Info, now time.Time) bool {
	if s != nil && m.Service == s.Name && s.has(info.Key) {
		return true
	}
	if s == nil || (m.Service == s.Name && m.Revision > s.Revision) {
		w.a.metrics.dropped.Inc(1)
		return false
	}
	w.a.metrics.wrongService.Inc(1)
	if !info.Opening {
		w.a.metrics.dropped.Inc(1)
		return false
	}
	w.a.refuse(s, m.Packet, info, m.Flow, refusal.ReasonWrongService, "the packet is for another service than the agent's", now)
	return false
}

// apply carries out the arbiter's decision on a packet.
func (w *worker) apply(s *service, m *wire.Datagram, info packet.Info, d *arbiter.Decision, now time.Time) {
	switch d.Action {
	case arbiter.ActionDeliver:
		w.deliver(s, m, info, d, now)
	case arbiter.ActionForward:
		w.a.metrics.forwarded.Inc(1)
		w.relay(m, wire.Kind_KIND_FORWARD, d)
	case arbiter.ActionOffer:
		w.a.metrics.offered.Inc(1)
		w.relay(m, wire.Kind_KIND_OFFER, d)
	case arbiter.ActionDecline:
		w.a.metrics.declined.Inc(1)
		w.relay(m, wire.Kind_KIND_DECLINED, d)
	case arbiter.ActionRefuse:
		w.a.refuse(s, m.Packet, info, m.Flow, d.Reason, d.Why, now)
	default:
		w.drop(m, info)
	}
	if d.Notify.To.IsValid() {
		w.a.sendAll([]arbiter.Message{d.Notify})
	}
}

// drop drops a packet, except a retransmitted FIN of an ended flow, which the stack acknowledges again.
func (w *worker) drop(m *wire.Datagram, info packet.Info) {
	if info.Finish && !info.Reset {
		if f := w.a.registry.get(m.Flow); f != nil && f.mayAnswer() {
			w.a.metrics.delivered.Inc(1)
			w.a.inject(m.Packet)
			return
		}
	}
	w.a.metrics.dropped.Inc(1)
}

func (w *worker) deliver(s *service, m *wire.Datagram, info packet.Info, d *arbiter.Decision, now time.Time) {
	w.a.metrics.delivered.Inc(1)
	if d.Accepted {
		w.a.placed(s, info, m.Flow, d, now)
	}
	if m.Hops > 0 {
		w.a.notifyBalancer(m, now)
	}
	w.a.inject(m.Packet)
}

// relay forwards the datagram to another agent with the decision's kind and fields.
func (w *worker) relay(m *wire.Datagram, kind wire.Kind, d *arbiter.Decision) {
	m.Kind = kind
	m.Position = d.Position
	m.Hops++
	m.Sender = w.a.self[:]
	m.Load = d.Load
	m.Bound = d.Bound
	m.Final = d.Final
	m.Incarnation = w.a.cfg.Incarnation
	n, err := m.MarshalToSizedBufferVT(w.out)
	if err != nil {
		w.a.metrics.sendErrors.Inc(1)
		return
	}
	w.a.send(w.out[len(w.out)-n:], d.To)
}

// send sends a datagram. The kernel may return the refusal of an earlier datagram instead of sending this one, which is
// then retried once.
func (a *Agent) send(b []byte, to netip.AddrPort) {
	_, err := a.conn.WriteToUDPAddrPort(b, to)
	if err != nil && a.reportUnreachable(err) {
		_, err = a.conn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		a.metrics.sendErrors.Inc(1)
	}
}

func (a *Agent) receiveFailed(err error) {
	if !a.reportUnreachable(err) {
		a.metrics.receiveErrors.Inc(1)
	}
}

// placed registers a newly accepted flow and logs the placement.
func (a *Agent) placed(s *service, info packet.Info, hash uint64, d *arbiter.Decision, now time.Time) {
	a.metrics.placed.Inc(1)
	a.registry.put(&openFlow{hash: hash, key: info.Key, placed: now})
	a.deps.Log.Info().
		Str("op", "place").
		Str("service", s.Name).
		Uint64("flow", hash).
		Stringer("caller", info.Key.Source).
		Str("decision", "accept").
		Uint32("load", d.Load).
		Str("reason", d.Why).
		Send()
}
