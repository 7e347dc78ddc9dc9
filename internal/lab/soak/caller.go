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
	openTimeout = 1400 * time.Millisecond
	// minRetransmitTimeout is the time until the first retransmission of a request; it doubles up to
	// maxRetransmitTimeout.
	minRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout = 1600 * time.Millisecond
	// requestTimeout is longer than any fault, so that a flow whose target keeps running must be answered within it.
	requestTimeout = 15 * time.Second
	maxThinkTime   = 900 * time.Millisecond
	maxRequests    = 12
	// initialSequence is the sequence number of a caller's opening packet.
	initialSequence = 7
)

// caller is one flow: it opens, sends requests one after the other, and closes.
type caller struct {
	w       *world
	vm      *callerVM
	address netip.AddrPort
	to      netip.AddrPort
	in      chan segment.Segment
	// sequence is the sequence number of the next byte to send, ack that of the next byte expected from the target.
	sequence uint32
	ack      uint32
	owner    string
	// answered is when the last answer came.
	answered time.Time
	random   *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	c.address, c.in = c.vm.add()
	defer c.vm.remove(c.address)
	c.w.counts.add(func(r *Result) { r.Flows++ })
	if !c.open(ctx) {
		return
	}
	for i := range 1 + c.random.IntN(maxRequests) {
		if !c.request(ctx, fmt.Sprintf("%s#%d", c.address, i)) {
			return
		}
		_ = wait.For(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
	c.send(segment.FIN|segment.ACK, c.ack, nil)
	c.w.counts.add(func(r *Result) { r.Finished++ })
}

// send sends a packet through the routers.
func (c *caller) send(flags segment.Flags, ack uint32, data []byte) {
	to, ok := c.w.routers.route(c.address, c.to)
	if !ok {
		return
	}
	raw := platformtest.Encode(platformtest.Packet{Source: c.address, Destination: c.to, Flags: flags, Sequence: c.sequence, Acknowledgement: ack, Data: data})
	_, _ = c.vm.conn.WriteToUDPAddrPort(raw, to)
}

// receive waits for a packet until a deadline.
func (c *caller) receive(ctx context.Context, until time.Time) (segment.Segment, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case s := <-c.in:
		if s.Source != c.to {
			c.w.counts.violation("caller %s received a packet from %s", c.address, s.Source)
		}
		return s, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return segment.Segment{}, false
}

// open opens the flow; it counts a flow that is refused or not answered.
func (c *caller) open(ctx context.Context) bool {
	began := time.Now()
	c.sequence = initialSequence
	for i := range platformtest.OpeningSendTimes {
		c.send(segment.SYN, uint32(i), nil)
		until := began.Add(openTimeout)
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
				c.sequence++
				return true
			}
		}
	}
	c.w.counts.add(func(r *Result) { r.Unopened++ })
	return false
}

// request sends a request and retransmits it until it is answered or requestTimeout has passed.
func (c *caller) request(ctx context.Context, text string) bool {
	began := time.Now()
	wait := minRetransmitTimeout
	for time.Since(began) < requestTimeout && ctx.Err() == nil {
		c.send(segment.ACK, c.ack, []byte(text))
		until := time.Now().Add(wait)
		wait = min(2*wait, maxRetransmitTimeout)
		for {
			s, ok := c.receive(ctx, until)
			if !ok {
				break
			}
			if s.Has(segment.RST) {
				return c.recordLost("was reset")
			}
			if s.Length > 0 {
				if done, good := c.checkAnswer(string(platformtest.Data(s.Raw)), text); done {
					c.sequence += uint32(len(text))
					c.ack = s.Sequence + uint32(s.Length)
					return good
				}
			}
		}
	}
	if ctx.Err() != nil {
		return false
	}
	if !c.w.ownersKnownSince(c.ownerNeededSince(began)) {
		c.w.counts.add(func(r *Result) { r.Silent++ })
		return false
	}
	return c.recordLost("got no answer")
}

// ownerNeededSince returns since when agents must know the flow's owner for a request that began at a time to be answered.
// Agents learn it from packets that balancers offer them. To an address that has led to several services, only a balancer
// that knows them does so.
func (c *caller) ownerNeededSince(began time.Time) time.Time {
	if c.to == movingAddress {
		return c.answered
	}
	return began
}

// checkAnswer checks an answer; done is false if it does not belong to the current request.
func (c *caller) checkAnswer(answer, text string) (done, good bool) {
	owner, request, _ := strings.Cut(answer, " ")
	if request != text {
		if !strings.HasPrefix(request, c.address.String()+"#") {
			c.w.counts.violation("caller %s received the answer %q", c.address, answer)
		}
		return false, false
	}
	if !c.w.mayServe(serviceOfTarget(owner), c.to) || (c.owner != "" && c.owner != owner) {
		c.w.counts.violation("flow %s of target %q was answered by %s", c.address, c.owner, owner)
		return true, false
	}
	c.owner, c.answered = owner, time.Now()
	c.w.counts.add(func(r *Result) { r.Requests++ })
	return true, true
}

// recordLost counts a flow that ended early. It is a violation if the owning target is running. The owner is unknown,
// and may have ended, if no request of the flow was answered.
func (c *caller) recordLost(reason string) bool {
	if c.owner != "" && c.w.isTargetRunning(c.owner) {
		c.w.counts.violation("flow %s of the running target %s %s", c.address, c.owner, reason)
		return false
	}
	c.w.counts.add(func(r *Result) { r.Ended++ })
	return false
}

// serviceOfTarget returns the service of the target process with the given ID, which begins with it.
func serviceOfTarget(id string) string {
	for _, service := range []string{serviceA, serviceB} {
		if strings.HasPrefix(id, service+"-") {
			return service
		}
	}
	return ""
}
