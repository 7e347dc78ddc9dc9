package policy

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Times of callers, as the protocol fixes them.
const (
	// openTime is how long a caller waits for an answer to its opening packet.
	openTime = 1400 * time.Millisecond
	// resendTime is how long a request may be unanswered until it is sent again; the time doubles with each.
	resendTime = 200 * time.Millisecond
	// callersPerAddress is the number of requests that share a source address.
	callersPerAddress = 400
)

// copyTimes are when the opening packet is sent again.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// request is what a caller wants: one answer, by one or several tries.
type request struct {
	w     *world
	began time.Time
	tries int
	done  bool
}

// try is one flow of a request.
type try struct {
	request *request
	key     flow.Key
	opened  bool
	ended   bool
	ack     uint32
}

// ask begins a request.
func (w *world) ask() {
	r := &request{w: w, began: w.now()}
	w.result.asked(r.began)
	r.try()
	w.after(w.o.Budget, func() {
		if !r.done {
			r.done = true
			w.result.lost(r.began)
		}
	})
}

// askOften begins requests at the load's rate until the run is over.
func (w *world) askOften() {
	if w.now().Sub(epoch) >= w.o.Length {
		return
	}
	w.ask()
	gap := w.arrivals.ExpFloat64() / (w.o.rate() * w.burst)
	w.after(time.Duration(gap*float64(time.Second)), w.askOften)
}

// try opens the next flow of a request.
func (r *request) try() {
	if r.done || r.tries >= r.w.o.Tries || r.w.now().Sub(r.began) >= r.w.o.Budget {
		return
	}
	r.tries++
	r.w.ports++
	n := r.w.ports / callersPerAddress
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1024+r.w.ports%callersPerAddress))
	t := &try{request: r, key: flow.Key{Source: source, Destination: serviceAddress, Protocol: flow.ProtocolTCP}}
	r.w.callers[source] = t
	for i, at := range copyTimes {
		r.w.after(at, func() { t.open(byte(i)) })
	}
	r.w.after(openTime, func() {
		if !t.opened {
			t.end()
		}
	})
}

// open sends a copy of the opening packet, unless the flow is open or its caller has left.
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

// receive takes a packet of a target, or a reset.
func (t *try) receive(raw []byte) {
	s, err := (dsrtest.Codec{}).Decode(raw)
	if err != nil || t.ended || t.request.done {
		return
	}
	switch {
	case s.Has(segment.RST):
		t.end()
	case s.Has(segment.SYN) && !t.opened:
		t.opened, t.ack = true, s.Sequence+1
		t.demand(resendTime)
	case s.Length > 0 && t.opened && s.Sequence == t.ack:
		t.send(dsrtest.Packet{Flags: segment.ACK | segment.FIN, Acknowledgement: t.ack + uint32(s.Length)})
		if string(dsrtest.Data(raw)) == wrongAnswer {
			t.request.w.result.Wrong++
			t.end()
			return
		}
		t.request.answered()
		t.ended = true
	}
}

// demand sends the request, and again until the answer comes.
func (t *try) demand(again time.Duration) {
	if t.ended || t.request.done {
		return
	}
	t.send(dsrtest.Packet{Flags: segment.ACK, Acknowledgement: t.ack, Data: []byte("GET")})
	t.request.w.after(again, func() { t.demand(2 * again) })
}

// end gives the flow up; the next one is opened after a pause.
func (t *try) end() {
	if t.ended {
		return
	}
	t.ended = true
	t.request.w.after(t.request.w.o.RetryPause, t.request.try)
}

// answered notes the answer.
func (r *request) answered() {
	if !r.done {
		r.done = true
		r.w.result.answered(r.began, r.w.now().Sub(r.began) <= r.w.o.Aim)
	}
}
