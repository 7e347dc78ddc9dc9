package passthrough

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

const (
	// openTime is the caller's timeout for an answer to its opening packet.
	openTime = 1400 * time.Millisecond
	// retransmitInterval is the interval between transmissions of a request.
	retransmitInterval = 200 * time.Millisecond
	// requestTime is the caller's timeout for an answer to a request. A longer stall counts as broken: an agent is down for
	// 600 ms when it restarts, and requests are retransmitted every 200 ms.
	requestTime = 4 * time.Second
	// thinkTime is the time between an answer and the next request of a flow.
	thinkTime = 150 * time.Millisecond
	// initialSequence is the sequence number of an opening packet.
	initialSequence = 7
)

// openingSchedule lists when an opening packet and its retransmissions are sent, from the start of the flow.
var openingSchedule = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// caller is the caller's side of one flow: it opens the flow, sends requests one after the other, and closes it.
type caller struct {
	lab      *lab
	conn     *net.UDPConn
	address  netip.AddrPort
	service  serviceAt
	random   *rand.Rand
	requests int
	// sequence is the sequence number of the caller's next byte.
	sequence uint32
	ack      uint32
	owner    string
}

// run runs the flow and counts its outcome.
func (c *caller) run(ctx context.Context) {
	defer c.conn.Close() //nolint:errcheck // All packets have been sent.
	c.lab.tally.count(func(r *Result) { r.Flows++ })
	began := time.Now()
	if !c.open(ctx) {
		return
	}
	baseline, dead := c.lab.plainHash(c.address, c.service.name, began)
	c.lab.tally.opened(time.Since(began), baseline, dead)
	for i := range c.requests {
		if !c.request(ctx, i) {
			return
		}
		time.Sleep(thinkTime)
	}
	c.send(dsrtest.Packet{Flags: segment.FIN | segment.ACK, Sequence: c.sequence, Acknowledgement: c.ack})
	c.lab.tally.count(func(r *Result) { r.Finished++ })
}

// send sends a packet through a random balancer in rotation.
func (c *caller) send(p dsrtest.Packet) {
	p.Source, p.Destination = c.address, c.service.address
	if to, ok := c.lab.anyBalancer(c.random); ok {
		_, _ = c.conn.WriteToUDPAddrPort(dsrtest.Encode(p), to)
	}
}

// receive waits for a packet of the flow until the deadline.
func (c *caller) receive(b []byte, until time.Time) (segment.Segment, bool) {
	for {
		_ = c.conn.SetReadDeadline(until)
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return segment.Segment{}, false
		}
		s, err := dsrtest.Codec{}.Decode(b[:n])
		if err == nil && s.Source == c.service.address && s.Destination == c.address {
			return s, true
		}
	}
}

// open opens the flow. It counts a flow that was refused or not answered, and returns false for it.
func (c *caller) open(ctx context.Context) bool {
	began := time.Now()
	b := make([]byte, 2048)
	for i := range openingSchedule {
		c.send(dsrtest.Packet{Flags: segment.SYN, Attempt: byte(i), Sequence: initialSequence})
		until := began.Add(openTime)
		if i+1 < len(openingSchedule) {
			until = began.Add(openingSchedule[i+1])
		}
		for {
			s, ok := c.receive(b, until)
			if !ok {
				break
			}
			if s.Has(segment.RST) {
				c.lab.tally.count(func(r *Result) { r.Refused++ })
				return false
			}
			if s.Has(segment.SYN | segment.ACK) {
				c.ack, c.sequence = s.Sequence+1, initialSequence+1
				return true
			}
		}
		if ctx.Err() != nil {
			return false
		}
	}
	c.lab.log.Error().Str("caller", c.address.String()).Msg("flow got no answer to its opening packet")
	c.lab.tally.count(func(r *Result) { r.Unopened++ })
	return false
}

// request sends one request, with retransmissions, and checks its answer.
func (c *caller) request(ctx context.Context, i int) bool {
	text := fmt.Sprintf("%s#%d", c.address, i)
	began := time.Now()
	b := make([]byte, 2048)
	for time.Since(began) < requestTime && ctx.Err() == nil {
		c.send(dsrtest.Packet{Flags: segment.ACK, Sequence: c.sequence, Acknowledgement: c.ack, Data: []byte(text)})
		until := time.Now().Add(retransmitInterval)
		for {
			s, ok := c.receive(b, until)
			if !ok {
				break
			}
			switch {
			case s.Has(segment.RST):
				return c.flowLost("reset")
			case s.Length > 0 && bytes.HasSuffix(dsrtest.Data(s.Raw), []byte(text)):
				c.sequence += uint32(len(text))
				return c.check(string(dsrtest.Data(s.Raw)))
			}
		}
	}
	return c.flowLost("no answer")
}

// check checks that an answer comes from the right service and from the target that answered before.
func (c *caller) check(answer string) bool {
	words := strings.Fields(answer)
	if words[0] != c.service.name {
		c.lab.tally.count(func(r *Result) { r.Crossed++ })
		return false
	}
	if c.owner != "" && c.owner != words[1] {
		c.lab.tally.count(func(r *Result) { r.Mixed++ })
		return false
	}
	c.owner = words[1]
	return true
}

// flowLost counts a flow that ended early: as broken if its target is alive, otherwise as ended. It returns false.
func (c *caller) flowLost(why string) bool {
	if c.lab.targetLives(c.owner) {
		c.lab.log.Error().Str("caller", c.address.String()).Str("target", c.owner).Str("why", why).Msg("flow broke, target alive")
		c.lab.tally.count(func(r *Result) { r.Broken++ })
		return false
	}
	c.lab.tally.count(func(r *Result) { r.Ended++ })
	return false
}
