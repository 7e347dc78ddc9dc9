package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
)

// learnWork takes what an agent says of its target's pace into the usual work of its service.
func (b *Balancer) learnWork(a *agent) {
	if a.work == 0 {
		return
	}
	m := b.works[a.service]
	if m == nil {
		m = new(estimate.Mean)
		b.works[a.service] = m
	}
	m.Add(a.work)
}

// usualWork is the usual work of a service's requests.
func (b *Balancer) usualWork(service string) time.Duration {
	if m := b.works[service]; m != nil {
		return m.ValueOr(InitialWorkTime)
	}
	return InitialWorkTime
}

// slow reports whether a target takes much longer than is usual for its service.
func (a *agent) slow(usual time.Duration) bool { return a.work > SlowFactor*usual }

// learnAnswer takes the time of an agent's answer to an offer.
func (b *Balancer) learnAnswer(now time.Time, f *flowState) {
	b.answer.Add(now.Sub(f.since))
}

// hedgeAfter is how long an agent may take to answer an opening packet until the next one is asked.
func (b *Balancer) hedgeAfter() time.Duration {
	return min(b.answer.Timeout(HedgeAfter-OfferWait)+OfferWait, maxTimeout)
}

// locateTimeout is how long agents may take to say whether they hold a flow.
func (b *Balancer) locateTimeout() time.Duration {
	return min(max(LocateTimeout, b.answer.Timeout(0)), maxTimeout)
}

// probeTimeout is how long an agent may take to say whether its target returned a packet.
func (b *Balancer) probeTimeout() time.Duration {
	return min(max(ProbeTimeout, b.answer.Timeout(0)+ProbeWait), maxTimeout)
}
