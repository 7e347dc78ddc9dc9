package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
)

// recordWorkTime adds the work time that an agent reported to the mean of its service.
func (b *Balancer) recordWorkTime(a *agent) {
	if a.workTime == 0 {
		return
	}
	m := b.workTimes[a.service]
	if m == nil {
		m = new(estimate.Mean)
		b.workTimes[a.service] = m
	}
	m.Add(a.workTime)
}

// typicalWorkTime returns the mean work time of a service's requests.
func (b *Balancer) typicalWorkTime(service string) time.Duration {
	if m := b.workTimes[service]; m != nil {
		return m.ValueOr(DefaultWorkTime)
	}
	return DefaultWorkTime
}

// isSlow reports whether the target takes more than SlowFactor times the typical work time of its service.
func (a *agent) isSlow(typical time.Duration) bool { return a.workTime > SlowFactor*typical }

// recordAnswerTime records how long an agent took to answer an offer.
func (b *Balancer) recordAnswerTime(now time.Time, f *flowState) {
	b.answerLatency.Add(now.Sub(f.since))
}

// hedgeAfter returns how long an agent may take to answer an offer before the next agent is asked.
func (b *Balancer) hedgeAfter() time.Duration {
	return min(b.answerLatency.Timeout(HedgeAfter-OfferWait)+OfferWait, maxTimeout)
}

// locateTimeout returns how long agents may take to say whether they hold a flow.
func (b *Balancer) locateTimeout() time.Duration {
	return min(max(LocateTimeout, b.answerLatency.Timeout(0)), maxTimeout)
}

// probeTimeout returns how long an agent may take to say whether its target returned a packet.
func (b *Balancer) probeTimeout() time.Duration {
	return min(max(ProbeTimeout, b.answerLatency.Timeout(0)+ProbeWait), maxTimeout)
}
