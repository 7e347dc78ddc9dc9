package requests

import (
	"math/rand/v2"
	"time"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// Shares of the workload. Half of the requests are not idempotent.
const (
	ticketShare = 0.30
	keyShare    = 0.12
	plainShare  = 0.08
	largeShare  = 0.02
	largeAnswer = 200 << 10
	// Shares of the requests that faultCallerRetry and faultCallerGone affect.
	retryShare = 0.05
	goneShare  = 0.03
)

// work is one planned request.
type work struct {
	id         int
	service    string
	caller     int
	at         time.Duration
	protection caller.Protection
	idem       bool
	size       int
	// deadline is the caller's timeout for the request.
	deadline time.Duration
	// cutAfter is the time after which the caller drops its first submission and retries; 0 means never.
	cutAfter time.Duration
	// goneAfter is the time after which the caller cancels the request; 0 means never.
	goneAfter time.Duration
}

// planner generates the workload.
type planner struct {
	d      deployment
	faults faultSet
	rand   *rand.Rand
	rate   float64
	pace   pace
}

// plan returns n requests with Poisson arrivals.
func (p *planner) plan(n, callers int) []work {
	list := make([]work, n)
	var at time.Duration
	for i := range list {
		at += time.Duration(p.rand.ExpFloat64() / p.rate * float64(time.Second))
		list[i] = p.planOne(i, at, callers)
	}
	return list
}

func (p *planner) planOne(id int, at time.Duration, callers int) work {
	w := work{id: id, at: at, caller: p.rand.IntN(callers), service: p.service(), deadline: p.pace.deadline}
	switch x := p.rand.Float64(); {
	case x < ticketShare:
		w.protection = caller.ProtectionTicket
	case x < ticketShare+keyShare:
		w.protection = caller.ProtectionKey
	case x < ticketShare+keyShare+plainShare:
		w.protection = caller.ProtectionNone
	default:
		w.protection = caller.ProtectionNone
		w.idem = true
	}
	if w.idem && p.rand.Float64() < 2*largeShare {
		w.size = largeAnswer
	}
	protected := w.idem || w.protection != caller.ProtectionNone
	if x := p.rand.Float64(); protected && p.faults.has(faultCallerRetry) && x < retryShare {
		w.cutAfter = time.Duration(1 + p.rand.Int64N(int64(2*p.pace.service)))
	}
	if x := p.rand.Float64(); p.faults.has(faultCallerGone) && x < goneShare {
		w.goneAfter = time.Duration(1 + p.rand.Int64N(int64(4*p.pace.service)))
	}
	return w
}

// service chooses a service at random in proportion to its slots.
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
