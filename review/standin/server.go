package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Times of a server, as the protocol page gives them, and its work for one request.
const (
	heartbeatInterval = 770 * time.Millisecond
	callTimeout       = time.Second
	workTime          = 25 * time.Millisecond
	slots             = 3
	maxResend         = 8
	// maxFlowBytes is less than the distance of the initial numbers of a server's flows.
	maxFlowBytes = 1 << 22
)

// server is one process of a server. A start of a server is a new server with a new id.
type server struct {
	id, service string
	app         netip.AddrPort
	outbound    netip.AddrPort
	control     string
	rec         *record
	client      *http.Client

	packets *net.UDPConn
	health  net.Listener
	ctx     context.Context
	end     context.CancelFunc

	// onOpening is called for each opening packet that the server takes, onRun for each request that it runs.
	onOpening func(s *server, p packet)
	onRun     func(s *server, from netip.AddrPort, request string)

	mu       sync.Mutex
	draining bool
	sequence uint64
	next     uint32
	flows    map[netip.AddrPort]*serverFlow
}

// serverFlow is a server's end of a flow.
type serverFlow struct {
	initial   uint32
	confirmed bool
	closed    bool
	seq       uint32
	ack       uint32
	// answers are the answers by request; one that is being worked on has none yet.
	answers map[string][]byte
	acked   uint32
}

// start binds the sockets of a server. Its heartbeats are sent by the caller.
func (s *server) start(parent context.Context) error {
	var err error
	if s.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app)); err != nil {
		return err
	}
	if s.health, err = net.Listen("tcp", s.app.String()); err != nil {
		_ = s.packets.Close()
		return err
	}
	s.ctx, s.end = context.WithCancel(parent)
	s.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	s.next, s.flows = rand.Uint32(), make(map[netip.AddrPort]*serverFlow)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("Instance-Id", s.id)
		if s.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go http.Serve(s.health, mux) //nolint:errcheck // It returns when the listener is closed.
	go s.read()
	s.rec.note("server %s starts at %s", s.id, s.app)
	return nil
}

// crash ends the process: its flows are gone.
func (s *server) crash() {
	s.end()
	_ = s.packets.Close()
	_ = s.health.Close()
	s.rec.note("server %s has ended", s.id)
}

func (s *server) running() bool { return s.ctx.Err() == nil }

// report is the body of a heartbeat.
type report struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmUpMs int    `json:"warmupLeftMs"`
	Sequence uint64 `json:"sequence"`
}

// nextReport returns the next heartbeat of the server.
func (s *server) nextReport() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	r := report{Service: s.service, Address: s.app.String(), Zone: "marka-hall", Version: "v1", Slots: slots, State: "ready", Sequence: s.sequence}
	if s.draining {
		r.State = "draining"
	}
	return r
}

// call sends a heartbeat and reports whether it was acknowledged within a second.
func (s *server) call(r report) bool {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.control+"/-/instances/"+s.id+"/heartbeat", bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		s.rec.note("heartbeat %s sequence %d state %s: no answer", s.id, r.Sequence, r.State)
		return false
	}
	_ = resp.Body.Close()
	s.rec.note("heartbeat %s sequence %d state %s: status %d", s.id, r.Sequence, r.State, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// sendHeartbeats sends heartbeats while the server runs. Acknowledged is called for each that was acknowledged.
func (s *server) sendHeartbeats(acknowledged func(r report)) {
	for s.running() {
		if r := s.nextReport(); s.call(r) && acknowledged != nil {
			acknowledged(r)
		}
		pause(s.ctx, heartbeatInterval)
	}
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) deregister() {
	resp, err := s.client.Post("http://"+s.control+"/-/instances/"+s.id+"/deregister", "application/json", nil)
	if err != nil {
		s.rec.note("deregister %s: no answer", s.id)
		return
	}
	_ = resp.Body.Close()
	s.rec.note("deregister %s: status %d", s.id, resp.StatusCode)
}

func (s *server) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.packets.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p, ok := decode(b[:n]); ok {
			s.receive(p)
		}
	}
}

func (s *server) receive(p packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.source]
	if p.isOpening() {
		s.receiveOpening(p, f)
		return
	}
	// A packet that acknowledges another server's number belongs to a flow that this one does not hold.
	if f == nil || p.ack-f.initial-1 >= maxFlowBytes {
		s.write(bounce(p))
		return
	}
	s.receiveOnFlow(p, f)
}

func (s *server) receiveOpening(p packet, f *serverFlow) {
	if f == nil || f.closed {
		s.next += 1 << 24
		f = &serverFlow{initial: s.next, seq: s.next + 1, ack: p.seq + 1, acked: s.next + 1, answers: make(map[string][]byte)}
		s.flows[p.source] = f
		if s.onOpening != nil {
			s.onOpening(s, p)
		}
	}
	s.write(packet{source: p.dest, dest: p.source, flags: syn | ack, seq: f.initial, ack: p.seq + 1}.encode())
}

func (s *server) receiveOnFlow(p packet, f *serverFlow) {
	if !f.confirmed {
		f.confirmed = true
		s.rec.note("server %s: flow of %s is open", s.id, p.source)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	switch {
	case p.has(rst):
		f.closed = true
	case p.has(fin):
		f.closed = true
		s.write(packet{source: p.dest, dest: p.source, flags: fin | ack, seq: f.seq, ack: p.seq + 1}.encode())
	case f.closed && len(p.data) > 0:
		s.write(packet{source: p.dest, dest: p.source, flags: rst, seq: f.seq}.encode())
	case len(p.data) > 0:
		s.serve(p, f)
	}
}

// serve runs a request once; a retransmission gets the answer again.
func (s *server) serve(p packet, f *serverFlow) {
	request := string(p.data)
	reply := packet{source: p.dest, dest: p.source, flags: ack, ack: p.seq + uint32(len(p.data))}
	if a, known := f.answers[request]; known {
		if a != nil {
			reply.seq, reply.data = f.seq-uint32(len(a)), a
			s.write(reply.encode())
		}
		return
	}
	f.answers[request] = nil
	s.rec.note("server %s runs %s of %s", s.id, request, p.source)
	if s.onRun != nil {
		s.onRun(s, p.source, request)
	}
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.running() {
			return
		}
		a := fmt.Appendf(nil, "%s %s", s.id, request)
		f.answers[request] = a
		reply.seq, reply.data = f.seq, a
		f.seq += uint32(len(a))
		s.resend(reply, f, minRetransmit, 0)
	})
}

// resend sends an answer until it is acknowledged. s.mu is held.
func (s *server) resend(reply packet, f *serverFlow, wait time.Duration, sent int) {
	if f.closed || sent > maxResend || int32(f.acked-reply.seq) > 0 || !s.running() {
		return
	}
	s.write(reply.encode())
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resend(reply, f, min(2*wait, maxRetransmit), sent+1)
	})
}

func (s *server) write(raw []byte) { _, _ = s.packets.WriteToUDPAddrPort(raw, s.outbound) }

// holds reports whether the server runs and holds an open flow of the requester.
func (s *server) holds(from netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[from]
	return s.running() && f != nil && f.confirmed && !f.closed
}
