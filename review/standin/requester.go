package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of a requester, as the protocol page gives them.
const (
	openTimeout   = 1400 * time.Millisecond
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 1600 * time.Millisecond
)

// openingCopies are the times at which the opening packet and its copies are sent.
var openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// requesters is a machine with requesters, each of which has a port of its own in the packets.
type requesters struct {
	conn   *net.UDPConn
	ip     netip.Addr
	router *router
	rec    *record

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func newRequesters(address netip.AddrPort, r *router, rec *record) (*requesters, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	m := &requesters{conn: conn, ip: address.Addr(), router: r, rec: rec, port: 40000, flows: make(map[uint16]chan packet)}
	go m.read()
	return m, nil
}

func (m *requesters) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		m.mu.Lock()
		c := m.flows[p.dest.Port()]
		m.mu.Unlock()
		if c == nil {
			continue
		}
		select {
		case c <- p:
		default:
		}
	}
}

// outcome is how an attempt to open a flow, or a request on it, ended.
type outcome string

const (
	succeeded outcome = "answered"
	wasReset  outcome = "reset"
	unserved  outcome = "no answer"
)

// flow is a requester's end of one flow.
type flow struct {
	m        *requesters
	from, to netip.AddrPort
	in       chan packet
	seq, ack uint32
}

// newFlow returns a flow from a new port.
func (m *requesters) newFlow(to netip.AddrPort) *flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.port++
	f := &flow{m: m, from: netip.AddrPortFrom(m.ip, m.port), to: to, in: make(chan packet, 64), seq: rand.Uint32()}
	m.flows[m.port] = f.in
	return f
}

func (f *flow) send(flags byte, ackNumber uint32, data []byte) {
	p := packet{source: f.from, dest: f.to, flags: flags, seq: f.seq, ack: ackNumber, data: data}
	_, _ = f.m.conn.WriteToUDPAddrPort(p.encode(), f.m.router.daemonOf(f.from, f.to))
}

func (f *flow) receive(ctx context.Context, until time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-f.in:
		return p, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return packet{}, false
}

// open sends the opening packet and its copies until the flow is open or was reset, for openTimeout at most.
func (f *flow) open(ctx context.Context) outcome {
	began := time.Now()
	for i := range openingCopies {
		f.send(syn, uint32(i), nil)
		until := began.Add(openTimeout)
		if i+1 < len(openingCopies) {
			until = began.Add(openingCopies[i+1])
		}
		for {
			p, ok := f.receive(ctx, until)
			if !ok {
				break
			}
			if p.has(rst) {
				return wasReset
			}
			if p.has(syn | ack) {
				f.seq++
				f.ack = p.seq + 1
				f.send(ack, f.ack, nil)
				return succeeded
			}
		}
	}
	return unserved
}

// request sends a request on an open flow and retransmits it until it is answered or the budget is over.
func (f *flow) request(ctx context.Context, id string, budget time.Duration) (outcome, string) {
	end, wait := time.Now().Add(budget), minRetransmit
	for time.Now().Before(end) && ctx.Err() == nil {
		f.send(ack, f.ack, []byte(id))
		until := time.Now().Add(wait)
		wait = min(2*wait, maxRetransmit)
		for {
			p, ok := f.receive(ctx, until)
			if !ok {
				break
			}
			if p.has(rst) {
				return wasReset, ""
			}
			if len(p.data) == 0 {
				continue
			}
			server, request, _ := strings.Cut(string(p.data), " ")
			if request != id {
				continue
			}
			f.seq += uint32(len(id))
			f.ack = p.seq + uint32(len(p.data))
			f.send(ack, f.ack, nil)
			return succeeded, server
		}
	}
	return unserved, ""
}

// close ends the flow.
func (f *flow) close() {
	f.send(fin|ack, f.ack, nil)
	f.seq++
}
