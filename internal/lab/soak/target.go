package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Times and sizes of a target.
const (
	heartbeatTime = 400 * time.Millisecond
	workTime      = 20 * time.Millisecond
	// slots is what a target announces; it takes twice as many flows that wait for an answer.
	slots = 3
	// leaveSlack is how long after its first acknowledged notice a target that leaves may still be given a new flow.
	leaveSlack = 2 * time.Second
	// bindTime is how long the sockets of an ended process may take until they are free again: they close once the goroutines
	// that wait on them have returned.
	bindTime = time.Second
	// initialStep keeps the numbers of two flows apart.
	initialStep = 1 << 21
)

// target stands in for a target: it answers requests with its name and returns what it does not hold.
type target struct {
	w        *world
	service  string
	outbound netip.AddrPort
	control  string
	packets  *net.UDPConn
	health   net.Listener

	// keepsName is set when every process of the target has the same name and tells when it started.
	keepsName bool

	mu sync.Mutex
	// id tells the processes of all targets apart; name and born are what the target says of itself.
	id       string
	name     string
	born     uint64
	alive    bool
	draining bool
	// drainAcknowledged is when the agent first acknowledged that the target leaves.
	drainAcknowledged time.Time
	sequence          uint64
	lives             int
	next              uint32
	busy              int
	flows             map[netip.AddrPort]*held
}

// held is one flow at a target.
type held struct {
	initial uint32
	closed  bool
	// answers are the answers by their requests; nil while the work goes on.
	answers map[string][]byte
}

// begin starts a new process of the target.
func (t *target) begin() error {
	packets, health, err := t.bind()
	for end := time.Now().Add(bindTime); err != nil && time.Now().Before(end); {
		time.Sleep(bindTime / 20)
		packets, health, err = t.bind()
	}
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lives++
	t.packets, t.health = packets, health
	t.id = fmt.Sprintf("%s-%d", t.service+"-"+t.w.targetAddress(t).Addr().String(), t.lives)
	t.name = t.id
	if t.keepsName {
		t.name = t.service + "-" + t.w.targetAddress(t).Addr().String()
		t.born = max(t.born+1, uint64(time.Now().UnixMilli()))
	}
	t.alive, t.draining, t.sequence, t.drainAcknowledged = true, false, 0, time.Time{}
	// Two targets that answer one opening packet are told apart by their numbers.
	t.next = rand.Uint32()
	t.busy, t.flows = 0, make(map[netip.AddrPort]*held)
	go t.read(packets)
	go http.Serve(health, platformtest.HealthHandler(t.healthy)) //nolint:errcheck // It ends with the listener.
	go t.beat(t.id)
	return nil
}

// bind opens the sockets of the target.
func (t *target) bind() (*net.UDPConn, net.Listener, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.w.targetAddress(t)))
	if err != nil {
		return nil, nil, err
	}
	health, err := net.Listen("tcp", t.w.targetAddress(t).String())
	if err != nil {
		_ = packets.Close()
		return nil, nil, err
	}
	return packets, health, nil
}

// end ends the process of the target at once.
func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	t.alive = false
	_ = t.packets.Close()
	_ = t.health.Close()
}

// leave drains the target and ends its process.
func (t *target) leave(ctx context.Context, after time.Duration) {
	t.mu.Lock()
	t.draining = true
	word := announcement.Deregistration{ID: t.name, StartedMs: t.born}
	t.mu.Unlock()
	_ = wait.For(ctx, after)
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = platformtest.Deregister(call, t.control, word)
	t.end()
}

// healthy is the name of the process while it takes new flows.
func (t *target) healthy() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive || t.draining {
		return ""
	}
	return t.name
}

// is reports whether the target's process with the given name lives.
func (t *target) is(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive && t.id == id
}

// beat announces the process until it has ended.
func (t *target) beat(id string) {
	for t.is(id) {
		t.mu.Lock()
		t.sequence++
		a := announcement.Announcement{
			ID: t.name, StartedMs: t.born, Service: t.service, Address: t.w.targetAddress(t), Slots: slots, Sequence: t.sequence,
		}
		if t.draining {
			a.State = announcement.Draining
		}
		t.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := platformtest.Heartbeat(ctx, t.control, a)
		cancel()
		t.mu.Lock()
		// The answer to a process that has ended since says nothing about the next one.
		if err == nil && t.id == id && a.State == announcement.Draining && t.drainAcknowledged.IsZero() {
			t.drainAcknowledged = time.Now()
		}
		t.mu.Unlock()
		time.Sleep(heartbeatTime)
	}
}

func (t *target) read(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s, err := platform.Codec{}.Decode(b[:n])
		if err != nil {
			t.w.counts.violation("target %s got what is no packet", t.service)
			continue
		}
		t.packet(s)
	}
}

func (t *target) packet(s segment.Segment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	if service := t.w.serviceOf(s.Destination); service != t.service {
		t.w.counts.violation("target %s got a packet for %s", t.id, s.Destination)
	}
	f := t.flows[s.Source]
	switch {
	case s.IsOpening():
		t.opening(s, f)
	case f == nil || s.Acknowledgement-f.initial-1 > initialStep/2:
		raw := append([]byte(nil), s.Raw...)
		platformtest.MarkReturned(raw)
		t.write(raw)
	default:
		t.of(f, s)
	}
}

// opening answers an opening packet, or returns it when the target is full.
func (t *target) opening(s segment.Segment, f *held) {
	if f == nil || f.closed {
		if t.busy >= 2*slots {
			raw := append([]byte(nil), s.Raw...)
			platformtest.MarkReturned(raw)
			t.write(raw)
			return
		}
		if !t.drainAcknowledged.IsZero() && time.Since(t.drainAcknowledged) > leaveSlack {
			t.w.counts.violation("target %s got a new flow %s after its notice", t.id, time.Since(t.drainAcknowledged))
		}
		t.next += initialStep
		f = &held{initial: t.next, answers: make(map[string][]byte)}
		t.flows[s.Source] = f
	}
	t.send(platformtest.Packet{Source: s.Destination, Destination: s.Source, Flags: segment.SYN | segment.ACK, Sequence: f.initial})
}

// of answers a packet of a held flow; a request that comes again gets the same answer, and is worked on once.
func (t *target) of(f *held, s segment.Segment) {
	if s.Has(segment.FIN) {
		f.closed = true
		t.send(platformtest.Packet{Source: s.Destination, Destination: s.Source, Flags: segment.FIN | segment.ACK, Sequence: s.Acknowledgement})
		return
	}
	if s.Length == 0 {
		return
	}
	request := string(platformtest.Data(s.Raw))
	reply := platformtest.Packet{Source: s.Destination, Destination: s.Source, Flags: segment.ACK, Sequence: s.Acknowledgement}
	if answer, known := f.answers[request]; known {
		if answer != nil {
			reply.Data = answer
			t.send(reply)
		}
		return
	}
	f.answers[request] = nil
	t.w.ran(request, t.id)
	t.busy++
	id := t.id
	time.AfterFunc(workTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.alive || t.id != id {
			return
		}
		t.busy--
		f.answers[request] = fmt.Appendf(nil, "%s %s", t.id, request)
		reply.Data = f.answers[request]
		t.send(reply)
	})
}

func (t *target) send(p platformtest.Packet) { t.write(platformtest.Encode(p)) }

func (t *target) write(raw []byte) { _, _ = t.packets.WriteToUDPAddrPort(raw, t.outbound) }
