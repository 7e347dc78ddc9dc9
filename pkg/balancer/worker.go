package balancer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// worker routes one packet at a time and reuses its buffers.
type worker struct {
	b   *Balancer
	out []byte
	// ranked is the row according to the view; row is ranked without its leading suspects.
	ranked, row []byte
	msg         wire.Datagram
}

func newWorker(b *Balancer) *worker {
	return &worker{b: b, out: make([]byte, maxPacketSize+datagramOverhead)}
}

// run reads and sends datagrams in batches until the socket is closed.
func (w *worker) run() error {
	q := newBatch(w.b.conn)
	for {
		n, err := q.read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			w.b.receiveFailed(err)
			continue
		}
		now := w.b.deps.Now()
		for i := range n {
			in, from := q.received(i)
			w.out = q.buffer()
			if to, out := w.handle(in, from, now); out != nil {
				q.add(out, to)
			}
		}
		w.b.send(q)
	}
}

// handle processes one datagram and returns the datagram to send and its receiver; nil bytes mean nothing to send. The
// bytes are valid until the next call.
func (w *worker) handle(in []byte, from netip.AddrPort, now time.Time) (netip.AddrPort, []byte) {
	w.b.lastPacket.Store(now.UnixNano())
	info, err := packet.Parse(in)
	if errors.Is(err, packet.ErrVersion) {
		w.control(in, from, now)
		return netip.AddrPort{}, nil
	}
	w.b.metrics.packets.Inc(1)
	if err != nil {
		w.b.metrics.malformed.Inc(1)
		return netip.AddrPort{}, nil
	}
	return w.route(in[:info.Length], info, now)
}

// route selects the agent for a caller's packet and encodes the datagram for it.
func (w *worker) route(in []byte, info packet.Info, now time.Time) (netip.AddrPort, []byte) {
	t := w.b.table.Load()
	if t == nil || t.revision == 0 {
		return w.refuse(in, info, refusal.ReasonNoConfiguration, "", 0, now)
	}
	r := t.find(info.Key)
	if r == nil {
		return w.refuse(in, info, refusal.ReasonUnknownAddress, "", t.revision, now)
	}
	hash := info.Key.Hash()
	w.ranked = r.rows.AppendRow(w.ranked[:0], hash)
	w.row = w.b.suspects.skip(w.ranked, now)
	first, ok := wire.RowAddr(w.row, 0)
	if !ok {
		return w.refuse(in, info, refusal.ReasonNoTarget, r.service.Name, r.service.Revision, now)
	}
	// An opening TCP segment may reuse the key of a known flow, and only the first agent may place it. Every UDP packet
	// counts as opening; packets of a known flow go to its owner, which forwards them to the first agent once it has
	// ended the flow.
	if info.Opening && info.Key.Protocol == flow.ProtocolTCP {
		w.logNewFlow(r, info, hash, first, now)
		return first, w.encode(r, hash, 0, in)
	}
	if owner, ok := w.learnedOwner(r, hash, now); ok {
		return owner.addr(), w.encode(r, hash, rowPosition(w.row, owner), in)
	}
	if info.Opening {
		w.logNewFlow(r, info, hash, first, now)
	}
	return first, w.encode(r, hash, 0, in)
}

// logNewFlow counts and logs a flow at its first opening packet.
func (w *worker) logNewFlow(r *route, info packet.Info, hash uint64, first netip.AddrPort, now time.Time) {
	connectionless := info.Key.Protocol == flow.ProtocolUDP
	if !w.b.cache.recordOpening(hash, connectionless, now, openingRepeatWindow) {
		return
	}
	w.b.metrics.newFlows.Inc(1)
	w.b.logRoute(r, info.Key, hash, first, w.row)
}

// learnedOwner returns the learned owner of a flow if it is still an agent of the service and not suspect; otherwise it
// evicts the flow.
func (w *worker) learnedOwner(r *route, hash uint64, now time.Time) (agentKey, bool) {
	owner, ok := w.b.cache.owner(hash, now)
	if !ok {
		w.b.metrics.cacheMisses.Inc(1)
		return agentKey{}, false
	}
	if !r.hasAgent(owner) || w.b.suspects.has(owner, now) {
		w.b.cache.remove(hash)
		w.b.metrics.cacheMisses.Inc(1)
		return agentKey{}, false
	}
	w.b.metrics.cacheHits.Inc(1)
	return owner, true
}

// encode marshals the datagram to the end of the worker's buffer.
func (w *worker) encode(r *route, hash uint64, position uint32, in []byte) []byte {
	m := &w.msg
	m.Kind = wire.Kind_KIND_FORWARD
	m.Service = r.service.Name
	m.Revision = r.service.Revision
	m.Flow = hash
	m.Row = w.row
	m.Position = position
	m.Packet = in
	m.Sender = w.b.self[:]
	m.Balancer = w.b.self[:]
	n, err := m.MarshalToSizedBufferVT(w.out)
	if err != nil {
		w.b.metrics.sendErrors.Inc(1)
		return nil
	}
	w.b.metrics.forwarded.Inc(1)
	return w.out[len(w.out)-n:]
}

// rowPosition returns the index of an agent in a row, or the row's length if the row doesn't contain it.
func rowPosition(row []byte, k agentKey) uint32 {
	n := wire.RowLen(row)
	for i := range n {
		if string(row[i*wire.AddrSize:(i+1)*wire.AddrSize]) == string(k[:]) {
			return uint32(i)
		}
	}
	return uint32(n)
}
