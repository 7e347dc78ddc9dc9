package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Times of a caller.
const (
	openTime = 1400 * time.Millisecond
	// firstResend is the time until a request is sent again; it doubles up to lastResend.
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	// requestTime is how long an answer may take: longer than any fault lasts, so that a flow whose target lives goes on.
	requestTime = 15 * time.Second
	maxThink    = 900 * time.Millisecond
	maxRequests = 12
)

// caller is one flow: it opens, sends requests one after the other, and closes.
type caller struct {
	w       *world
	vm      *callerVM
	end     netip.AddrPort
	to      netip.AddrPort
	in      chan segment.Segment
	ack     uint32
	owner   string
	random  *rand.Rand
	service string
}

func (c *caller) run(ctx context.Context) {
	c.end, c.in = c.vm.add()
	defer c.vm.remove(c.end)
	c.w.counts.add(func(r *Result) { r.Flows++ })
	if !c.open(ctx) {
		return
	}
	for i := range 1 + c.random.IntN(maxRequests) {
		if !c.request(ctx, fmt.Sprintf("%s#%d", c.end, i)) {
			return
		}
		_ = wait.For(ctx, time.Duration(c.random.Int64N(int64(maxThink))))
	}
	c.send(segment.FIN|segment.ACK, c.ack, nil)
	c.w.counts.add(func(r *Result) { r.Finished++ })
}

// send sends a packet by way of the routers.
func (c *caller) send(flags segment.Flags, ack uint32, data []byte) {
	to, ok := c.w.routers.route(c.end, c.to)
	if !ok {
		return
	}
	raw := platformtest.Encode(platformtest.Packet{Source: c.end, Destination: c.to, Flags: flags, Sequence: 7, Acknowledgement: ack, Data: data})
	_, _ = c.vm.conn.WriteToUDPAddrPort(raw, to)
}

// receive waits for a packet until a time.
func (c *caller) receive(ctx context.Context, until time.Time) (segment.Segment, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case s := <-c.in:
		if s.Source != c.to {
			c.w.counts.violation("caller %s got a packet of %s", c.end, s.Source)
		}
		return s, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return segment.Segment{}, false
}

// open opens the flow; it counts one that was refused or not answered.
func (c *caller) open(ctx context.Context) bool {
	began := time.Now()
	for i := range platformtest.OpeningSendTimes {
		c.send(segment.SYN, uint32(i), nil)
		until := began.Add(openTime)
		if i+1 < len(platformtest.OpeningSendTimes) {
			until = began.Add(platformtest.OpeningSendTimes[i+1])
		}
		for {
			s, ok := c.receive(ctx, until)
			if !ok {
				break
			}
			if s.Has(segment.RST) {
				c.w.counts.add(func(r *Result) { r.Refused++ })
				return false
			}
			if s.Has(segment.SYN | segment.ACK) {
				c.ack = s.Sequence + 1
				return true
			}
		}
	}
	c.w.counts.add(func(r *Result) { r.Unopened++ })
	return false
}

// request sends a request until it is answered.
func (c *caller) request(ctx context.Context, text string) bool {
	began := time.Now()
	wait := firstResend
	for time.Since(began) < requestTime && ctx.Err() == nil {
		c.send(segment.ACK, c.ack, []byte(text))
		until := time.Now().Add(wait)
		wait = min(2*wait, lastResend)
		for {
			s, ok := c.receive(ctx, until)
			if !ok {
				break
			}
			if s.Has(segment.RST) {
				return c.lost("was reset")
			}
			if s.Length > 0 {
				if done, good := c.answered(string(platformtest.Data(s.Raw)), text); done {
					return good
				}
			}
		}
	}
	if ctx.Err() != nil {
		return false
	}
	if !c.w.knew(began) {
		c.w.counts.add(func(r *Result) { r.Silent++ })
		return false
	}
	return c.lost("got no answer")
}

// answered checks an answer; done is false for a copy of an earlier one.
func (c *caller) answered(answer, text string) (done, good bool) {
	owner, request, _ := strings.Cut(answer, " ")
	if request != text {
		if !strings.HasPrefix(request, c.end.String()+"#") {
			c.w.counts.violation("caller %s got the answer %q", c.end, answer)
		}
		return false, false
	}
	if !strings.HasPrefix(owner, c.service+"-") || (c.owner != "" && c.owner != owner) {
		c.w.counts.violation("flow %s of target %q was answered by %s", c.end, c.owner, owner)
		return true, false
	}
	c.owner = owner
	c.w.counts.add(func(r *Result) { r.Requests++ })
	return true, true
}

// lost counts a flow that ended early: a promise was broken when its target lives. The target of a flow without an answer is
// not known; it may have died.
func (c *caller) lost(why string) bool {
	if c.owner != "" && c.w.lives(c.owner) {
		c.w.counts.violation("flow %s of the living target %s %s", c.end, c.owner, why)
		return false
	}
	c.w.counts.add(func(r *Result) { r.Ended++ })
	return false
}
