package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of a requester.
const (
	openTime    = 1400 * time.Millisecond
	requestTime = 1500 * time.Millisecond
)

// clients is the machine of all requesters.
type clients struct {
	w    *world
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is one flow of a requester.
type flow struct {
	c        *clients
	src, dst netip.AddrPort
	in       chan packet
	// seq is the number of the next byte to send, ack that of the next byte expected.
	seq, ack uint32
	through  string
	closed   bool
	opened   time.Time

	mu sync.Mutex
	// sent is when the flow's last packet was sent, pause the longest time between two of them.
	sent  time.Time
	pause time.Duration
}

// noteSent records that a packet is sent now.
func (f *flow) noteSent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.sent.IsZero() {
		f.pause = max(f.pause, now.Sub(f.sent))
	}
	f.sent = now
}

func (f *flow) longestPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pause
}

func newClients(w *world) (*clients, error) {
	c := &clients{w: w, ip: w.ip(netClients, 0), port: 40000, flows: make(map[uint16]*flow)}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.at(c.ip, portPackets)))
	if err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *clients) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		raw := append([]byte(nil), b[:n]...)
		p, err := decode(raw)
		if err != nil || !isSealed(raw) && !isReset(p) {
			c.w.record.breaks("MIXED: a requester gets a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if isReset(p) {
			f.judgeReset()
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// isReset reports whether a packet is a reset of the system's own.
func isReset(p packet) bool { return p.has(flagRST) && p.sum == 0 && len(p.data) == 0 }

// judgeReset applies the rule FLOW (a) to a reset that no server has sent.
func (f *flow) judgeReset() {
	r := f.c.w.record
	for _, m := range f.c.w.machines {
		id, open := m.server.holdsOpen(flowKey{f.src, f.dst})
		if !open {
			continue
		}
		if why := f.c.w.excuse(f); why != "" {
			r.note("requester %s gets a reset of the system beside server %s, not counted: %s", f.src, id, why)
			return
		}
		r.breaks("FLOW (a): requester %s gets a reset that server %s did not send, while that lives and holds the open flow", f.src, id)
		return
	}
	r.note("requester %s gets a reset of the system; no living server holds its flow", f.src)
}

// open opens a flow to a route; nil when that fails.
func (c *clients) open(to netip.AddrPort) *flow {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, src: netip.AddrPortFrom(c.ip, c.port), dst: to, in: make(chan packet, 64), seq: 1000, opened: time.Now()}
	c.flows[c.port] = f
	c.mu.Unlock()
	began := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.Sleep(time.Until(began.Add(at)))
		f.send(flagSYN, f.seq, uint32(i), nil)
		c.w.record.note("requester %s sends SYN %d through %s", f.src, i, f.through)
		until := openTime
		if i < 2 {
			until = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}[i]
		}
		for {
			p, ok := f.receive(began.Add(until))
			if !ok {
				break
			}
			if p.has(flagRST) {
				c.w.record.note("requester %s: refused", f.src)
				return nil
			}
			if p.has(flagSYN) && p.has(flagACK) {
				f.seq++
				f.ack = p.seq + 1
				f.send(flagACK, f.seq, f.ack, nil)
				return f
			}
		}
	}
	c.w.record.note("requester %s: the flow did not open", f.src)
	return nil
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	b := f.c.w.balancerFor(f.src, f.dst)
	if b == nil {
		return
	}
	f.through = b.name
	f.noteSent()
	raw := packet{src: f.src, dst: f.dst, flags: flags, seq: seq, ack: ack, data: data}.encode()
	_, _ = f.c.conn.WriteToUDPAddrPort(raw, f.c.w.at(b.ip, portPackets))
}

func (f *flow) receive(until time.Time) (packet, bool) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case p := <-f.in:
		return p, true
	case <-t.C:
		return packet{}, false
	}
}

// request sends a request and repeats its packet until it is answered; it returns how that ended.
func (f *flow) request(attempt string) string {
	r := f.c.w.record
	data := fmt.Appendf(nil, "POST /manifest HTTP/1.1\r\nHost: route\r\nContent-Length: 0\r\nAttempt-Id: %s\r\n\r\n", attempt)
	began := time.Now()
	wait := firstRetransmission
	acked := false
	var answer []byte
	for time.Since(began) < requestTime {
		if !acked {
			f.send(flagACK, f.seq, f.ack, data)
			if wait == firstRetransmission {
				r.note("requester %s sends request %s through %s", f.src, attempt, f.through)
			}
		}
		until := time.Now().Add(wait)
		wait = min(2*wait, longestWait)
		for {
			p, ok := f.receive(until)
			if !ok {
				break
			}
			if p.has(flagRST) {
				r.note("request %s ends with a reset", attempt)
				return "reset"
			}
			acked = acked || p.ack == f.seq+uint32(len(data))
			if p.seq == f.ack && len(p.data) > 0 {
				f.ack += uint32(len(p.data))
				answer = append(answer, p.data...)
			}
			if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.ack {
				f.ack++
				f.closed = true
			}
			if len(p.data) > 0 || p.has(flagFIN) {
				f.send(flagACK, f.seq+uint32(len(data)), f.ack, nil)
			}
			if bytes.HasSuffix(answer, []byte("\r\n\r\n")) {
				f.seq += uint32(len(data))
				r.note("request %s is answered by server %s", attempt, headerOf(string(answer), "Served-By"))
				return "answered"
			}
		}
	}
	r.note("request %s gets no answer", attempt)
	return "silent"
}
