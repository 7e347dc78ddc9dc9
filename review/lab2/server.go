package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times and sizes of a server.
const (
	serverSlots = 3
	workTime    = 20 * time.Millisecond
	reportLimit = time.Second
	maxReport   = 4 << 10

	firstRetransmission = 200 * time.Millisecond
	longestWait         = 1600 * time.Millisecond
	maxRetransmissions  = 8
)

// server stands in for an application server: it ends the flows that the agent beside it passes on, runs their requests and
// reports to the agent.
type server struct {
	w       *world
	machine *machine
	service string
	zone    string

	mu       sync.Mutex
	id       string
	starts   int
	running  bool
	draining bool
	sequence int
	packets  *net.UDPConn
	health   net.Listener
	flows    map[flowKey]*serverFlow
	// acknowledged is when the first report of draining was acknowledged.
	acknowledged time.Time
}

type flowKey struct{ src, dst netip.AddrPort }

type serverFlow struct {
	key flowKey
	// initial is the server's sequence number, next the one of its next byte, expected that of the requester's.
	initial, next, expected uint32
	// acked is the highest acknowledgement of the requester.
	acked uint32
	open  bool
	input []byte
	// callerClosed and closed are set when the requester, or the server, has sent a FIN.
	callerClosed, closed bool
}

func newServer(w *world, m *machine, service, zone string) *server {
	return &server{w: w, machine: m, service: service, zone: zone}
}

func (s *server) address() netip.AddrPort { return s.w.at(s.machine.ip, portApp) }

// start begins a new incarnation.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address())); err != nil {
		return err
	}
	if s.health, err = net.Listen("tcp4", s.address().String()); err != nil {
		return err
	}
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.machine.name, s.starts)
	s.running, s.draining, s.sequence = true, false, 0
	s.flows, s.acknowledged = make(map[flowKey]*serverFlow), time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.answerHealth)
	go http.Serve(s.health, mux) //nolint:errcheck // It returns when the listener is closed.
	go s.read(s.packets, s.id)
	go s.report(s.id)
	s.w.record.note("server %s of %s starts", s.id, s.service)
	return nil
}

// stop ends the incarnation at once.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return
	}
	s.running = false
	_ = s.packets.Close()
	_ = s.health.Close()
	s.w.record.note("server %s exits", s.id)
}

func (s *server) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running && s.id == id
}

func (s *server) answerHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Instance-Id", s.id)
	if s.draining || !s.running {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// report sends liveness reports until the incarnation ends.
func (s *server) report(id string) {
	for s.isRunning(id) {
		s.mu.Lock()
		s.sequence++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": s.service, "address": s.address().String(), "zone": s.zone, "version": "v1", "slots": serverSlots,
			"state": state, "warmupLeftMs": 0, "sequence": s.sequence,
		}
		s.mu.Unlock()
		began := time.Now()
		err := s.post(id, "heartbeat", body)
		s.mu.Lock()
		if err == nil && state == "draining" && s.acknowledged.IsZero() {
			s.acknowledged = time.Now()
			s.w.record.note("server %s: draining is acknowledged", id)
		}
		s.mu.Unlock()
		if err != nil {
			s.w.record.note("server %s: liveness report (%s) not acknowledged: %v", id, state, err)
		}
		time.Sleep(heartbeatMs*time.Millisecond - time.Since(began)%(heartbeatMs*time.Millisecond))
	}
}

// post makes a report; only an answer of 200 within a second and of 4 KiB at most acknowledges it.
func (s *server) post(id, call string, body any) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.machine.control+"/-/instances/"+id+"/"+call, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // The body was read or is given up.
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReport+1))
	switch {
	case err != nil:
		return err
	case resp.StatusCode/100 != 2 || len(answer) > maxReport:
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// drain reports that the server leaves, and waits until that is acknowledged and drainMs and a little more have passed.
func (s *server) drain(slack time.Duration) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.w.record.note("server %s begins to drain (planned)", s.id)
	for {
		s.mu.Lock()
		at := s.acknowledged
		s.mu.Unlock()
		if !at.IsZero() && time.Since(at) >= drainTime+slack {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// deregister reports the end of the incarnation; it returns whether that was acknowledged.
func (s *server) deregister() bool {
	s.w.record.note("server %s deregisters", s.id)
	err := s.post(s.id, "deregister", nil)
	if err != nil {
		s.w.record.note("server %s: no acknowledgement of its deregistration: %v", s.id, err)
		return false
	}
	s.w.record.note("server %s: its deregistration is acknowledged", s.id)
	return true
}

func (s *server) read(conn *net.UDPConn, id string) {
	b := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		raw := append([]byte(nil), b[:n]...)
		p, err := decode(raw)
		if err != nil || !isSealed(raw) {
			s.w.record.breaks("UNASKED: server %s gets a packet that its sender did not write so", id)
			continue
		}
		s.mu.Lock()
		if s.running && s.id == id {
			s.receive(p, raw)
		}
		s.mu.Unlock()
	}
}

// receive handles a packet; s.mu is held.
func (s *server) receive(p packet, raw []byte) {
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	switch {
	case p.isOpening():
		if f == nil {
			f = &serverFlow{key: key, initial: rand.Uint32(), expected: p.seq + 1}
			f.next = f.initial + 1
			s.flows[key] = f
			s.w.record.note("server %s takes the SYN of %s to %s", s.id, p.src, p.dst)
		}
		s.send(f, flagSYN|flagACK, f.initial, nil)
	case f == nil || !f.open && p.ack != f.initial+1:
		s.write(bounced(raw))
		s.w.record.note("server %s returns a packet of %s", s.id, p.src)
	case p.has(flagRST):
		delete(s.flows, key)
	default:
		s.receiveOpen(f, p)
	}
}

// receiveOpen handles a packet of a flow that the server holds; s.mu is held.
func (s *server) receiveOpen(f *serverFlow, p packet) {
	if !f.open {
		f.open = true
		s.w.record.note("flow %s is open at server %s", f.key.src, s.id)
	}
	if int32(p.ack-f.acked) > 0 || f.acked == 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 {
		if p.seq == f.expected {
			f.expected += uint32(len(p.data))
			f.input = append(f.input, p.data...)
		}
		s.send(f, flagACK, f.next, nil)
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.expected {
		f.callerClosed = true
		f.expected++
		s.close(f)
	}
	for {
		head, rest, ok := bytes.Cut(f.input, []byte("\r\n\r\n"))
		if !ok {
			return
		}
		f.input = append([]byte(nil), rest...)
		s.run(f, string(head))
	}
}

// run works on a request; s.mu is held.
func (s *server) run(f *serverFlow, head string) {
	attempt := headerOf(head, "Attempt-Id")
	s.w.record.note("server %s runs request %s of %s", s.id, attempt, f.key.src)
	id := s.id
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.running || s.id != id {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: %s\r\nServed-By: %s\r\n\r\n", attempt, id)
		at := f.next
		f.next += uint32(len(answer))
		s.sendUntilAcked(f, id, flagACK, at, []byte(answer), 0)
		if s.draining {
			s.close(f)
		}
	})
}

// close sends the server's FIN; s.mu is held.
func (s *server) close(f *serverFlow) {
	if f.closed {
		s.send(f, flagACK, f.next, nil)
		return
	}
	f.closed = true
	at := f.next
	f.next++
	s.sendUntilAcked(f, s.id, flagFIN|flagACK, at, nil, 0)
}

// sendUntilAcked sends a packet and repeats it until it is acknowledged, or the server gives up; s.mu is held.
func (s *server) sendUntilAcked(f *serverFlow, id string, flags byte, seq uint32, data []byte, tries int) {
	s.send(f, flags, seq, data)
	end := seq + uint32(len(data))
	if flags&flagFIN != 0 {
		end++
	}
	time.AfterFunc(min(firstRetransmission<<tries, longestWait), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.running || s.id != id || int32(f.acked-end) >= 0 || tries >= maxRetransmissions || s.flows[f.key] != f {
			return
		}
		s.sendUntilAcked(f, id, flags, seq, data, tries+1)
	})
}

func (s *server) send(f *serverFlow, flags byte, seq uint32, data []byte) {
	s.write(packet{src: f.key.dst, dst: f.key.src, flags: flags, seq: seq, ack: f.expected, data: data}.encode())
}

func (s *server) write(b []byte) {
	_, _ = s.packets.WriteToUDPAddrPort(b, s.w.at(s.machine.ip, portOutbound))
}

// holdsOpen reports whether the running incarnation holds a flow that is open and not closed by either end.
func (s *server) holdsOpen(key flowKey) (id string, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return s.id, s.running && f != nil && f.open && !f.closed && !f.callerClosed
}

// openFlows is the number of open flows that the running incarnation holds.
func (s *server) openFlows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.flows {
		if s.running && f.open && !f.closed {
			n++
		}
	}
	return n
}

// headerOf returns a header's value.
func headerOf(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if key, value, ok := strings.Cut(line, ": "); ok && key == name {
			return value
		}
	}
	return ""
}
