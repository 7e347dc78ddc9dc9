package passthrough

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

const (
	// heartbeat is the interval between announcements of a target.
	heartbeat = 400 * time.Millisecond
	// requestDuration is the processing time of a request.
	requestDuration = 20 * time.Millisecond
)

// target is a stand-in for a target: it holds flows, answers requests with its name, and returns packets of flows that it
// does not hold.
type target struct {
	name    string
	service string
	slots   int
	conn    *net.UDPConn
	// outbound is the destination of its packets; it is set when the agent starts. Guarded by mu.
	outbound netip.AddrPort
	tally    *counts

	mu       sync.Mutex
	dead     bool
	draining bool
	// held is set while heartbeats are withheld.
	held     bool
	sequence uint64
	next     uint32
	flows    map[netip.AddrPort]*held
	opened   int
}

// held is the state of one flow at a target.
type held struct {
	initial uint32
	open    bool
	closed  bool
}

func newTarget(name, service string, slots int, address netip.AddrPort, t *counts) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	out := &target{name: name, service: service, slots: slots, conn: conn, tally: t, flows: make(map[netip.AddrPort]*held)}
	go out.read()
	return out, nil
}

func (t *target) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s, err := dsrtest.Codec{}.Decode(b[:n])
		if err == nil && !t.handlePacket(s) {
			t.tally.checkMisdelivered(t, s)
		}
	}
}

// handlePacket handles one packet; it returns false if the target does not hold its flow.
func (t *target) handlePacket(s segment.Segment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dead {
		return true
	}
	f := t.flows[s.Source]
	switch {
	case s.IsOpening():
		t.handleOpening(s, f)
	case f == nil || f.initial+1 > s.Acknowledgement || s.Acknowledgement > f.initial+1<<20:
		t.returnPacket(s)
		return false
	default:
		t.handleHeld(f, s)
	}
	return true
}

// handleOpening answers an opening packet; it creates the flow if it is new or closed.
func (t *target) handleOpening(s segment.Segment, f *held) {
	if f == nil || f.closed {
		t.next += 1 << 21
		f = &held{initial: t.next}
		t.flows[s.Source] = f
		t.opened++
	}
	t.send(dsrtest.Packet{Source: s.Destination, Destination: s.Source, Flags: segment.SYN | segment.ACK, Sequence: f.initial})
}

// handleHeld answers a packet of a held flow: a request is echoed with the names of the service and the target.
func (t *target) handleHeld(f *held, s segment.Segment) {
	f.open = true
	reply := dsrtest.Packet{Source: s.Destination, Destination: s.Source, Flags: segment.ACK, Sequence: s.Acknowledgement}
	if s.Has(segment.FIN) {
		f.closed = true
		reply.Flags |= segment.FIN
		t.send(reply)
		return
	}
	if s.Length == 0 {
		return
	}
	reply.Data = fmt.Appendf(nil, "%s %s %s", t.service, t.name, dsrtest.Data(s.Raw))
	time.AfterFunc(requestDuration, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.dead {
			t.send(reply)
		}
	})
}

func (t *target) returnPacket(s segment.Segment) {
	raw := append([]byte(nil), s.Raw...)
	raw[0] |= byte(segment.Returned)
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
}

func (t *target) send(p dsrtest.Packet) {
	_, _ = t.conn.WriteToUDPAddrPort(dsrtest.Encode(p), t.outbound)
}

// announcement returns the next heartbeat, and false if the target is dead.
func (t *target) announcement() (announcement.Announcement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	a := announcement.Announcement{ID: t.name, Service: t.service, Slots: t.slots, Sequence: t.sequence}
	if t.draining {
		a.State = announcement.Draining
	}
	return a, !t.dead
}

// healthCheck answers a health check; an error means that the target is dead.
func (t *target) healthCheck() (announcement.HealthCheck, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dead {
		return announcement.HealthCheck{}, syscall.ECONNREFUSED
	}
	return announcement.HealthCheck{ID: t.name, Ready: !t.draining}, nil
}

// open returns the number of open flows.
func (t *target) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, f := range t.flows {
		if f.open && !f.closed {
			n++
		}
	}
	return n
}

// holds reports whether the caller's flow is open at the target.
func (t *target) holds(caller netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[caller]
	return f != nil && f.open && !f.closed
}

// hold starts or stops withholding heartbeats.
func (t *target) hold(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = on
}

// holding reports whether heartbeats are withheld.
func (t *target) holding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

func (t *target) kill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead = true
}

func (t *target) alive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.dead
}
