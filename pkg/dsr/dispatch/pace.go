package dispatch

import (
	"cmp"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
)

// paceFactor is the multiple of the service's typical work time that is expected of the target; 1 while the paces of
// the service's targets do not differ.
func (a *agent) paceFactor() float64 { return cmp.Or(a.factor, 1) }

// expectedWorkTime is the work time expected of the target: the reported one, else that of its pace.
func (a *agent) expectedWorkTime(typical time.Duration) time.Duration {
	if a.workTime > 0 {
		return a.workTime
	}
	return time.Duration(a.paceFactor() * float64(typical))
}

// recordPace adds the reported work time to the pace of the target, unless it is still warming up.
func (b *Balancer) recordPace(now time.Time, a *agent) {
	if a.workTime == 0 || a.coldLimit.InForce(now) {
		return
	}
	if c := b.comparisons[a.service]; c != nil {
		a.pace.Add(now, a.workTime, c.typical)
	}
}

// comparePaces sets the factors of a service's targets, and the mean of their reported work times.
func (b *Balancer) comparePaces(now time.Time, c *comparison, service string) {
	var paces estimate.Paces
	var sum time.Duration
	count := 0
	for _, a := range b.services[service] {
		if !a.isAlive(now) {
			continue
		}
		paces.Add(&a.pace)
		if a.workTime > 0 {
			sum += a.workTime
			count++
		}
	}
	if count > 0 {
		c.typical = sum / time.Duration(count)
	}
	reliability := paces.Reliability()
	if b.cfg.Without.TargetPace {
		reliability = 0
	}
	for _, a := range b.services[service] {
		a.factor = paces.Factor(&a.pace, reliability)
	}
}
