package requests

import (
	"math/rand/v2"
	"time"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// Parts of the workload. Half of the requests are not idempotent.
const (
	partTicket  = 0.30
	partKey     = 0.12
	partPlain   = 0.08
	partLarge   = 0.02
	largeAnswer = 200 << 10
	// Parts of the requests that faultCallerRetry and faultCallerGone touch.
	partRetry = 0.05
	partGone  = 0.03
)

// work is one planned piece of work.
type work struct {
	id      int
	service string
	caller  int
	at      time.Duration
	promise caller.Protection
	idem    bool
	size    int
	// deadline is the time that the caller gives.
	deadline time.Duration
	// cutAfter is when the caller drops its first submission and repeats it; 0 means never.
	cutAfter time.Duration
	// goneAfter is when the caller gives the work up; 0 means never.
	goneAfter time.Duration
}

// planner makes the workload from a seed.
type planner struct {
	d      deployment
	faults faultSet
	rand   *rand.Rand
	rate   float64
	pace   pace
}

// plan returns n pieces of work with Poisson arrivals.
func (p *planner) plan(n, callers int) []work {
	list := make([]work, n)
	var at time.Duration
	for i := range list {
		at += time.Duration(p.rand.ExpFloat64() / p.rate * float64(time.Second))
		list[i] = p.one(i, at, callers)
	}
	return list
}

func (p *planner) one(id int, at time.Duration, callers int) work {
	w := work{id: id, at: at, caller: p.rand.IntN(callers), service: p.service(), deadline: p.pace.deadline}
	switch x := p.rand.Float64(); {
	case x < partTicket:
		w.promise = caller.ProtectionTicket
	case x < partTicket+partKey:
		w.promise = caller.ProtectionKey
	case x < partTicket+partKey+partPlain:
		w.promise = caller.ProtectionNone
	default:
		w.promise = caller.ProtectionNone
		w.idem = true
	}
	if w.idem && p.rand.Float64() < 2*partLarge {
		w.size = largeAnswer
	}
	protected := w.idem || w.promise != caller.ProtectionNone
	if x := p.rand.Float64(); protected && p.faults.has(faultCallerRetry) && x < partRetry {
		w.cutAfter = time.Duration(1 + p.rand.Int64N(int64(2*p.pace.service)))
	}
	if x := p.rand.Float64(); p.faults.has(faultCallerGone) && x < partGone {
		w.goneAfter = time.Duration(1 + p.rand.Int64N(int64(4*p.pace.service)))
	}
	return w
}

// service chooses a service in proportion to its slots.
func (p *planner) service() string {
	all := 0
	for _, s := range p.d {
		all += s.targets * s.slots
	}
	x := p.rand.IntN(all)
	for _, s := range p.d {
		x -= s.targets * s.slots
		if x < 0 {
			return s.name
		}
	}
	return p.d[0].name
}
