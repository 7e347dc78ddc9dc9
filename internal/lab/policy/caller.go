package policy

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Timeouts of callers, fixed by the protocol.
const (
	// openTimeout is how long a caller waits for an answer to its opening packets.
	openTimeout = 1400 * time.Millisecond
	// retransmitTimeout is the time until the first retransmission of a request; it doubles with each.
	retransmitTimeout = 200 * time.Millisecond
	// callersPerAddress is the number of flows that share a source address.
	callersPerAddress = 400
)

// openingPacketTimes are the times at which the opening packet and its retransmissions are sent.
var openingPacketTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// request is a request of a caller; it is answered by one of several tries.
type request struct {
	w     *world
	began time.Time
	tries int
	done  bool
	// destination is the address of the route, caller the number of the caller.
	destination netip.AddrPort
	caller      int
}

// try is one flow of a request.
type try struct {
	request *request
	key     flow.Key
	opened  bool
	ended   bool
	ack     uint32
}

// startRequest begins a request.
func (w *world) startRequest() {
	r := &request{w: w, began: w.now(), destination: serviceAddress}
	w.drawKind(r)
	w.result.recordRequest(r)
	r.try()
	w.after(w.o.Budget, func() {
		if !r.done {
			r.done = true
			w.result.recordLost(r)
		}
	})
}

// generateRequests begins requests at the current rate, with exponentially distributed gaps, for the length of the run.
func (w *world) generateRequests() {
	if w.now().Sub(epoch) >= w.o.Length {
		return
	}
	w.startRequest()
	gap := w.arrivals.ExpFloat64() / (w.o.rate() * w.burst)
	w.after(time.Duration(gap*float64(time.Second)), w.generateRequests)
}

// try opens the next flow of a request, unless tries or budget are used up.
func (r *request) try() {
	if r.done || r.tries >= r.w.o.Tries || r.w.now().Sub(r.began) >= r.w.o.Budget {
		return
	}
	r.tries++
	source := r.source()
	t := &try{request: r, key: flow.Key{Source: source, Destination: r.destination, Protocol: flow.ProtocolTCP}}
	r.w.callers[source] = t
	for i, at := range openingPacketTimes {
		r.w.after(at, func() { t.open(byte(i)) })
	}
	r.w.after(openTimeout, func() {
		if !t.opened && !t.ended {
			r.w.result.TimedOut++
			t.abandon()
		}
	})
}

// source returns a new port at the caller's address.
func (r *request) source() netip.AddrPort {
	r.w.ports++
	n, port := r.w.ports/callersPerAddress, r.w.ports%callersPerAddress
	if r.w.o.Callers > 0 {
		r.w.callerPorts[r.caller]++
		n, port = uint32(r.caller), r.w.callerPorts[r.caller]
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1024+port))
}

// drawKind draws the route and the caller of a request.
func (w *world) drawKind(r *request) {
	if w.kinds.Float64() < w.o.Urgent {
		r.destination = urgentAddress
	}
	if w.o.Callers > 0 && w.kinds.Float64() >= w.o.Flood {
		r.caller = w.kinds.IntN(w.o.Callers)
	}
}

// open sends an opening packet, unless the flow is open or has ended.
func (t *try) open(number byte) {
	if t.opened || t.ended || t.request.done {
		return
	}
	t.send(dsrtest.Packet{Flags: segment.SYN, Attempt: number, Sequence: 7})
}

func (t *try) send(p dsrtest.Packet) {
	p.Source, p.Destination = t.key.Source, t.key.Destination
	t.request.w.send(t.key, dsrtest.Encode(p))
}

// receive handles a packet from a target, or a reset.
func (t *try) receive(raw []byte) {
	s, err := (dsrtest.Codec{}).Decode(raw)
	if err != nil || t.ended || t.request.done {
		return
	}
	switch {
	case s.Has(segment.RST):
		t.abandon()
	case s.Has(segment.SYN) && !t.opened:
		t.opened, t.ack = true, s.Sequence+1
		t.sendRequest(retransmitTimeout)
	case s.Length > 0 && t.opened && s.Sequence == t.ack:
		t.send(dsrtest.Packet{Flags: segment.ACK | segment.FIN, Acknowledgement: t.ack + uint32(s.Length)})
		if string(dsrtest.Data(raw)) == wrongAnswer {
			t.request.w.result.Wrong++
			t.abandon()
			return
		}
		t.request.recordAnswer()
		t.ended = true
	}
}

// sendRequest sends the request and retransmits it with exponential backoff until the flow ends.
func (t *try) sendRequest(retransmitAfter time.Duration) {
	if t.ended || t.request.done {
		return
	}
	t.send(dsrtest.Packet{Flags: segment.ACK, Acknowledgement: t.ack, Data: []byte("GET")})
	t.request.w.after(retransmitAfter, func() { t.sendRequest(2 * retransmitAfter) })
}

// abandon ends the flow; the next one is opened after RetryPause.
func (t *try) abandon() {
	if t.ended {
		return
	}
	t.ended = true
	t.request.w.after(t.request.w.o.RetryPause, t.request.try)
}

// recordAnswer counts the first answer of a request, unless its budget is used up.
func (r *request) recordAnswer() {
	if !r.done {
		r.done = true
		r.w.result.recordAnswer(r, r.w.now().Sub(r.began) <= r.w.o.Aim)
	}
}
