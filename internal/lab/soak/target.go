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
	heartbeatInterval = 400 * time.Millisecond
	workTime          = 20 * time.Millisecond
	// slots is the announced number of slots. While twice as many requests are in progress, opening packets of new
	// flows are returned.
	slots = 3
	// drainSlack is how long after the agent first acknowledged that the target drains new flows may still arrive.
	drainSlack = 2 * time.Second
	// bindTimeout is how long to retry binding the sockets of an ended process, which are released only when the
	// goroutines that use them have returned.
	bindTimeout = time.Second
	// initialSequenceStep separates the initial sequence numbers of the flows of a target.
	initialSequenceStep = 1 << 21
)

// target simulates a target: it answers requests with its ID and returns packets of flows that it does not hold.
type target struct {
	w        *world
	service  string
	outbound netip.AddrPort
	control  string
	packets  *net.UDPConn
	health   net.Listener

	// stableName is set if all processes of the target announce the same name and a start time.
	stableName bool

	mu sync.Mutex
	// id is unique among the processes of all targets; name and startedMs are what the target announces.
	id        string
	name      string
	startedMs uint64
	alive     bool
	draining  bool
	// drainAcknowledged is when the agent first acknowledged a draining heartbeat.
	drainAcknowledged time.Time
	// earlier are reports of processes that have ended, which may arrive late.
	earlier      []announcement.Announcement
	sequence     uint64
	incarnations int
	next         uint32
	busy         int
	flows        map[netip.AddrPort]*flowState
}

// flowState is the state of one flow at a target.
type flowState struct {
	initial uint32
	closed  bool
	// answers maps requests to answers; nil while the request is in progress.
	answers map[string][]byte
}

// startProcess starts a new process of the target.
func (t *target) startProcess() error {
	packets, health, err := t.bind()
	for end := time.Now().Add(bindTimeout); err != nil && time.Now().Before(end); {
		time.Sleep(bindTimeout / 20)
		packets, health, err = t.bind()
	}
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnations++
	if t.name != "" {
		t.earlier = append(t.earlier, t.report())
	}
	t.packets, t.health = packets, health
	t.id = fmt.Sprintf("%s-%d", t.service+"-"+t.w.targetAddress(t).Addr().String(), t.incarnations)
	t.name = t.id
	if t.stableName {
		t.name = t.service + "-" + t.w.targetAddress(t).Addr().String()
		t.startedMs = max(t.startedMs+1, uint64(time.Now().UnixMilli()))
	}
	t.alive, t.draining, t.sequence, t.drainAcknowledged = true, false, 0, time.Time{}
	// Random initial sequence numbers distinguish targets that answer the same opening packet.
	t.next = rand.Uint32()
	t.busy, t.flows = 0, make(map[netip.AddrPort]*flowState)
	go t.read(packets)
	go http.Serve(health, platformtest.HealthHandler(t.healthStatus)) //nolint:errcheck // It returns when the listener is closed.
	go t.sendHeartbeats(t.id)
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

// stopProcess ends the process without draining.
func (t *target) stopProcess() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	t.alive = false
	_ = t.packets.Close()
	_ = t.health.Close()
}

// drainAndStop drains the target for a time, deregisters it and ends its process, which runs on for a time.
func (t *target) drainAndStop(ctx context.Context, after, runsOn time.Duration) {
	t.mu.Lock()
	t.draining = true
	deregistration := announcement.Deregistration{ID: t.name, StartedMs: t.startedMs}
	t.mu.Unlock()
	_ = wait.For(ctx, after)
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = platformtest.Deregister(call, t.control, deregistration)
	_ = wait.For(ctx, runsOn)
	t.stopProcess()
}

// healthStatus returns what the running process answers to a health check: it is ready unless it drains.
func (t *target) healthStatus() announcement.HealthCheck {
	t.mu.Lock()
	defer t.mu.Unlock()
	return announcement.HealthCheck{ID: t.name, StartedMs: t.startedMs, Ready: !t.draining}
}

// activeName returns the announced name, or "" if the process is down or draining.
func (t *target) activeName() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive || t.draining {
		return ""
	}
	return t.name
}

// isRunning reports whether the process with the given ID is running.
func (t *target) isRunning(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive && t.id == id
}

// report returns the report of the last process. t.mu is held.
func (t *target) report() announcement.Announcement {
	a := announcement.Announcement{
		ID: t.name, StartedMs: t.startedMs, Service: t.service, Address: t.w.targetAddress(t), Slots: slots, Sequence: t.sequence,
	}
	if t.draining {
		a.State = announcement.Draining
	}
	return a
}

// sendHeartbeats sends heartbeats to the agent until the process with the given ID has ended.
func (t *target) sendHeartbeats(id string) {
	for t.isRunning(id) {
		t.mu.Lock()
		t.sequence++
		a := t.report()
		t.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := platformtest.Heartbeat(ctx, t.control, a)
		cancel()
		t.mu.Lock()
		// Ignores the answer to the heartbeat of a process that has ended since.
		if err == nil && t.id == id && a.State == announcement.Draining && t.drainAcknowledged.IsZero() {
			t.drainAcknowledged = time.Now()
		}
		t.mu.Unlock()
		time.Sleep(heartbeatInterval)
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
			t.w.counts.violation("target %s received an undecodable packet", t.service)
			continue
		}
		t.handlePacket(s)
	}
}

func (t *target) handlePacket(s segment.Segment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	if !t.w.mayServe(t.service, s.Destination) {
		t.w.counts.violation("target %s received a packet for %s", t.id, s.Destination)
	}
	f := t.flows[s.Source]
	switch {
	case s.IsOpening():
		t.handleOpening(s, f)
	case f == nil || s.Acknowledgement-f.initial-1 > initialSequenceStep/2:
		raw := append([]byte(nil), s.Raw...)
		platformtest.MarkReturned(raw)
		t.write(raw)
	default:
		t.handleFlowPacket(f, s)
	}
}

// handleOpening answers an opening packet, or returns it if the target is full.
func (t *target) handleOpening(s segment.Segment, f *flowState) {
	if f == nil || f.closed {
		if t.busy >= 2*slots {
			raw := append([]byte(nil), s.Raw...)
			platformtest.MarkReturned(raw)
			t.write(raw)
			return
		}
		if !t.drainAcknowledged.IsZero() && time.Since(t.drainAcknowledged) > drainSlack {
			t.w.counts.violation("target %s received a new flow %s after its draining was acknowledged", t.id, time.Since(t.drainAcknowledged))
		}
		t.next += initialSequenceStep
		f = &flowState{initial: t.next, answers: make(map[string][]byte)}
		t.flows[s.Source] = f
	}
	t.send(platformtest.Packet{Source: s.Destination, Destination: s.Source, Flags: segment.SYN | segment.ACK, Sequence: f.initial})
}

// handleFlowPacket handles a packet of a held flow. A repeated request is run once and gets the same answer.
func (t *target) handleFlowPacket(f *flowState, s segment.Segment) {
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
	t.w.recordRun(request, t.id)
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
