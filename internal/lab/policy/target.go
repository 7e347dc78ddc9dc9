package policy

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

const (
	// localDelay is the delay of a packet between an agent and the target on the same VM.
	localDelay = 100 * time.Microsecond
	// initialSequenceStep separates the initial sequence numbers of the flows of a target.
	initialSequenceStep = 1 << 20
)

// target simulates a target: it opens flows, serves requests first in, first out, and returns packets of flows that it
// does not hold.
type target struct {
	w     *world
	agent *agentNode
	up    bool
	id    string
	born  uint64
	// coldUntil is when the warm-up ends; slow is the current multiple of the service time.
	coldUntil time.Time
	slow      float64
	// failing, mute and wrong are the shares of requests that are reset, left unanswered, or answered immediately with
	// an error.
	failing, mute, wrong float64
	share                float64
	// recentFlows are the times of the new flows of the last second while the target is cold.
	recentFlows []time.Time
	sequence    uint64
	initial     uint32
	busy        int
	waiting     []waiting
	flows       map[netip.AddrPort]*flowState
}

// flowState is the state of one flow at a target.
type flowState struct {
	initial  uint32
	answered bool
	asked    bool
}

// waiting is a request queued for a slot.
type waiting struct {
	flow    *flowState
	request segment.Segment
}

// start starts a new incarnation.
func (t *target) start(warm bool) {
	t.w.incarnations++
	t.id = fmt.Sprintf("target-%d", t.agent.index)
	t.born = uint64(t.w.now().UnixMilli()) + t.w.incarnations
	t.up, t.sequence, t.busy, t.waiting, t.recentFlows = true, 0, 0, nil, nil
	t.flows = make(map[netip.AddrPort]*flowState)
	t.initial = t.w.random.Uint32()
	t.coldUntil = t.w.now()
	if !warm {
		t.coldUntil = t.w.now().Add(t.w.o.ColdTime)
	}
	t.sendHeartbeats(t.born)
}

func (t *target) stop() { t.up = false }

// sendHeartbeats sends heartbeats to the agent until the incarnation ends.
func (t *target) sendHeartbeats(born uint64) {
	if !t.up || t.born != born {
		return
	}
	t.sequence++
	n := announcement.Announcement{
		ID: t.id, StartedMs: t.born, Service: serviceName, Slots: t.w.o.Slots, Sequence: t.sequence,
		WarmUp: max(0, t.coldUntil.Sub(t.w.now())),
	}
	t.w.after(localDelay, func() { t.agent.receiveHeartbeat(n) })
	t.w.after(heartbeatInterval, func() { t.sendHeartbeats(born) })
}

func (t *target) receive(raw []byte) {
	s, err := (dsrtest.Codec{}).Decode(raw)
	if err != nil || !t.up {
		return
	}
	f := t.flows[s.Source]
	switch {
	case s.IsOpening():
		t.open(f, s)
	case f == nil || s.Acknowledgement-f.initial-1 > initialSequenceStep/2:
		raw[0] |= byte(segment.Returned)
		t.send(raw)
	case s.Length > 0 && !f.asked:
		f.asked = true
		t.request(f, s)
	case s.Length > 0 && f.answered:
		t.answer(s)
	}
}

func (t *target) open(f *flowState, s segment.Segment) {
	if f == nil {
		if t.exceedsColdLimit() {
			t.crash()
			return
		}
		t.initial += initialSequenceStep
		f = &flowState{initial: t.initial}
		t.flows[s.Source] = f
	}
	t.reply(s, segment.SYN|segment.ACK, f.initial, "")
}

// coldCrashThreshold returns the number of new flows in a second that a cold target takes without a crash.
func coldCrashThreshold(perSecond float64) int { return int(1.5*perSecond) + 5 }

// exceedsColdLimit counts a new flow; it reports whether a cold target has received more of them in a second than
// coldCrashThreshold.
func (t *target) exceedsColdLimit() bool {
	now := t.w.now()
	if t.w.o.ColdPerSecond == 0 || !now.Before(t.coldUntil) {
		return false
	}
	t.recentFlows = append(t.recentFlows, now)
	for now.Sub(t.recentFlows[0]) >= time.Second {
		t.recentFlows = t.recentFlows[1:]
	}
	return len(t.recentFlows) > coldCrashThreshold(t.w.o.ColdPerSecond)
}

// crash ends the incarnation; the next one starts cold after CrashTime.
func (t *target) crash() {
	t.w.result.Crashed++
	t.stop()
	t.w.after(t.w.o.CrashTime, func() { t.start(false) })
}

// request runs a request if a slot is free, and otherwise queues it, or resets it if the queue is full. Failing, mute
// and wrong requests need no slot.
func (t *target) request(f *flowState, s segment.Segment) {
	switch draw := t.w.random.Float64(); {
	case draw < t.failing:
		t.reply(s, segment.RST|segment.ACK, s.Acknowledgement, "")
		return
	case draw < t.failing+t.mute:
		return
	case draw < t.failing+t.mute+t.wrong:
		f.answered = true
		t.finish(s, wrongAnswer)
		return
	}
	if t.busy < t.w.o.Slots {
		t.run(f, s)
		return
	}
	if len(t.waiting) >= t.w.o.Queue {
		t.reply(s, segment.RST|segment.ACK, s.Acknowledgement, "")
		return
	}
	t.waiting = append(t.waiting, waiting{flow: f, request: s})
}

// run occupies a slot for the service time of a request, answers it and starts the next one in the queue.
func (t *target) run(f *flowState, s segment.Segment) {
	t.busy++
	work := float64(t.w.work()) * t.slow
	if t.w.now().Before(t.coldUntil) {
		work *= t.w.o.ColdFactor
	}
	born := t.born
	t.w.result.recordRun(s.Source)
	t.w.after(time.Duration(work), func() {
		if !t.up || t.born != born {
			return
		}
		t.busy--
		f.answered = true
		t.answer(s)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.run(next.flow, next.request)
		}
	})
}

// Texts of answers; an error is about a tenth of the size of a regular answer.
const (
	rightAnswer = "an answer that took some work, and so is of some size"
	wrongAnswer = "error"
)

// answer sends the answer to a request and closes the flow.
func (t *target) answer(s segment.Segment) { t.finish(s, rightAnswer) }

func (t *target) finish(s segment.Segment, text string) {
	t.reply(s, segment.ACK, s.Acknowledgement, text)
	t.reply(s, segment.FIN|segment.ACK, s.Acknowledgement+uint32(len(text)), "")
}

func (t *target) reply(s segment.Segment, flags segment.Flags, sequence uint32, data string) {
	t.send(dsrtest.Encode(dsrtest.Packet{
		Source: s.Destination, Destination: s.Source, Flags: flags, Sequence: sequence, Data: []byte(data),
	}))
}

func (t *target) send(raw []byte) {
	t.w.after(localDelay, func() { t.agent.fromTarget(raw) })
}
