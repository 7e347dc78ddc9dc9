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
	// localDelay is the time of a packet between an agent and the target on the same VM.
	localDelay = 100 * time.Microsecond
	// initialStep keeps the numbers at which targets open flows apart.
	initialStep = 1 << 20
)

// target is a target: it opens flows, works on requests in order of their arrival and returns what it does not hold.
type target struct {
	w     *world
	agent *agentNode
	up    bool
	id    string
	born  uint64
	// coldUntil is when the target is as fast as usual; slow is the present multiple of its work.
	coldUntil time.Time
	slow      float64
	// failing, mute and wrong are the shares of requests that are reset, never answered, or answered with an error at once.
	failing, mute, wrong float64
	share                float64
	// opened are the times of the last new flows while the target is cold.
	opened   []time.Time
	sequence uint64
	initial  uint32
	busy     int
	waiting  []waiting
	flows    map[netip.AddrPort]*held
}

// held is one flow at a target.
type held struct {
	initial  uint32
	answered bool
	asked    bool
}

// waiting is a request that waits for a slot.
type waiting struct {
	flow    *held
	request segment.Segment
}

// start begins a new process.
func (t *target) start(warm bool) {
	t.w.lives++
	t.id = fmt.Sprintf("target-%d", t.agent.index)
	t.born = uint64(t.w.now().UnixMilli()) + t.w.lives
	t.up, t.sequence, t.busy, t.waiting, t.opened = true, 0, 0, nil, nil
	t.flows = make(map[netip.AddrPort]*held)
	t.initial = t.w.random.Uint32()
	t.coldUntil = t.w.now()
	if !warm {
		t.coldUntil = t.w.now().Add(t.w.o.ColdTime)
	}
	t.beat(t.born)
}

func (t *target) end() { t.up = false }

// beat announces the process until it ends.
func (t *target) beat(born uint64) {
	if !t.up || t.born != born {
		return
	}
	t.sequence++
	n := announcement.Announcement{
		ID: t.id, StartedMs: t.born, Service: serviceName, Slots: t.w.o.Slots, Sequence: t.sequence,
		WarmUp: max(0, t.coldUntil.Sub(t.w.now())),
	}
	t.w.after(localDelay, func() { t.agent.heard(n) })
	t.w.after(heartbeatTime, func() { t.beat(born) })
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
	case f == nil || s.Acknowledgement-f.initial-1 > initialStep/2:
		raw[0] |= byte(segment.Returned)
		t.send(raw)
	case s.Length > 0 && !f.asked:
		f.asked = true
		t.request(f, s)
	case s.Length > 0 && f.answered:
		t.answer(s)
	}
}

func (t *target) open(f *held, s segment.Segment) {
	if f == nil {
		if t.overloaded() {
			t.crash()
			return
		}
		t.initial += initialStep
		f = &held{initial: t.initial}
		t.flows[s.Source] = f
	}
	t.reply(s, segment.SYN|segment.ACK, f.initial, "")
}

// coldMargin is what a cold target bears beyond the rate that its service declares.
func coldMargin(perSecond float64) int { return int(1.5*perSecond) + 5 }

// overloaded counts a new flow; it reports whether a cold target has got more in a second than it bears.
func (t *target) overloaded() bool {
	now := t.w.now()
	if t.w.o.ColdPerSecond == 0 || !now.Before(t.coldUntil) {
		return false
	}
	t.opened = append(t.opened, now)
	for now.Sub(t.opened[0]) >= time.Second {
		t.opened = t.opened[1:]
	}
	return len(t.opened) > coldMargin(t.w.o.ColdPerSecond)
}

// crash ends the process; the next one starts cold.
func (t *target) crash() {
	t.w.result.Crashed++
	t.end()
	t.w.after(t.w.o.CrashTime, func() { t.start(false) })
}

// request queues a request for a slot, or sheds it by a reset when the queue is full.
func (t *target) request(f *held, s segment.Segment) {
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

// run works on a request.
func (t *target) run(f *held, s segment.Segment) {
	t.busy++
	work := float64(t.w.work()) * t.slow
	if t.w.now().Before(t.coldUntil) {
		work *= t.w.o.ColdFactor
	}
	born := t.born
	t.w.result.ran(s.Source)
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

// Texts of answers; an error is a fifth of the size of an answer.
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
