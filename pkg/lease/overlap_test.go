package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simObject is the stored lease object of a simulation.
type simObject struct {
	version uint64
	record  Record
}

func (o *simObject) apply(a Action) Observation {
	if a.Version != o.version {
		return Observation{Kind: ObservedConflict}
	}
	o.version++
	o.record = a.Record
	return Observation{Kind: ObservedWritten, Version: o.version}
}

func (o *simObject) read() Observation {
	if o.version == 0 {
		return Observation{Kind: ObservedAbsent}
	}
	return Observation{Kind: ObservedObject, Version: o.version, Record: o.record}
}

// simProcess is a process whose clock has its own rate and offset.
type simProcess struct {
	state *State
	rate  float64
	base  time.Time
	next  time.Duration
	seen  Observation
}

func (p *simProcess) local(at time.Duration) time.Time {
	return p.base.Add(time.Duration(float64(at) * p.rate))
}

// late is a write that takes effect some time after its caller observed ObservedUnknown.
type late struct {
	at     time.Duration
	action Action
}

// simulation runs processes against one lease object, in a real time that is hidden from the processes.
type simulation struct {
	rng       *rand.Rand
	object    simObject
	late      []late
	processes []*simProcess
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rng.IntN(900)) * time.Millisecond }

// step runs one step of the process whose turn is next, and returns the time of the step.
func (s *simulation) step() time.Duration {
	p := s.processes[0]
	for _, q := range s.processes {
		if q.next < p.next {
			p = q
		}
	}
	at := p.next
	s.applyLate(at)
	a := p.state.Step(p.local(at), p.seen)
	p.seen = Observation{}
	if a.Kind == ActionWait {
		p.next = at + max(time.Millisecond, time.Duration(float64(a.At.Sub(p.local(at)))/p.rate))
		return at
	}
	p.next = at + s.delay()
	p.seen = s.call(a, p.next)
	return at
}

func (s *simulation) applyLate(now time.Duration) {
	var left []late
	for _, l := range s.late {
		if l.at > now {
			left = append(left, l)
			continue
		}
		s.object.apply(l.action)
	}
	s.late = left
}

func (s *simulation) call(a Action, answered time.Duration) Observation {
	luck := s.rng.IntN(10)
	switch {
	case luck == 0:
		return Observation{Kind: ObservedUnavailable}
	case a.Kind == ActionRead:
		return s.object.read()
	case luck == 1:
		s.object.apply(a)
		return Observation{Kind: ObservedUnknown}
	case luck == 2:
		s.late = append(s.late, late{at: answered + 5*s.delay(), action: a})
		return Observation{Kind: ObservedUnknown}
	}
	return s.object.apply(a)
}

// holders returns the processes whose state says that they hold the lease.
func (s *simulation) holders(now time.Duration) []string {
	var list []string
	for i, p := range s.processes {
		if term, held := p.state.Term(p.local(now)); held {
			list = append(list, fmt.Sprintf("process %d in term %d", i, term))
		}
	}
	return list
}

// TestHoldersDoNotOverlap checks that, without pauses, no two processes hold the lease at once, with clocks that have
// random offsets and rates up to 4% apart, and with responses that are slow, lost or followed by late effects.
func TestHoldersDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
		for i := range 4 {
			s.processes = append(s.processes, &simProcess{
				state: NewState(Config{Name: "l", Holder: fmt.Sprintf("p%d", i), Duration: 6 * time.Second}),
				rate:  0.98 + 0.04*s.rng.Float64(),
				base:  time.Unix(s.rng.Int64N(1e9), 0),
			})
		}
		var now time.Duration
		held := 0
		for range 3000 {
			now = s.step()
			list := s.holders(now)
			if len(list) > 1 {
				t.Fatalf("at %s: %v", now, list)
			}
			held += len(list)
		}
		if held == 0 {
			t.Fatal("no process ever held the lease")
		}
	})
}
