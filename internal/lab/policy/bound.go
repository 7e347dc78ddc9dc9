package policy

import (
	"math/rand/v2"
	"sort"
	"time"
)

// boundStep is the step of time in which the bound is worked out.
const boundStep = 5 * time.Millisecond

// wanted is a request as the bound sees it.
type wanted struct {
	// first is when its first packet can reach a living balancer; inTime and budget are when its work must begin at the latest.
	first, inTime, budget time.Time
}

// Bound is about the most that any system could serve in a run: it knows every request and its tries, divides the targets' slots
// without loss, never waits for a packet between VMs, and gives every slot to a request that can still be answered in time, the most
// urgent first, before any late one. Callers' packets reach it only while there is power, at the times at which callers send them.
// Failing, mute, wrong and slow targets are left out by it from the first moment; agents that die cost it nothing.
func Bound(o Options) (Counts, error) {
	if err := o.check(); err != nil {
		return Counts{}, err
	}
	requests := o.wanted()
	out := Counts{Asked: len(requests)}
	var timely, late []wanted
	done, capacity := 0, 0.0
	for at := epoch; !at.After(epoch.Add(o.Length + o.Budget)); at = at.Add(boundStep) {
		capacity = min(capacity+o.capacityAt(at.Sub(epoch))*boundStep.Seconds(), float64(o.Targets*o.Slots))
		for ; done < len(requests) && !requests[done].first.After(at); done++ {
			timely = append(timely, requests[done])
		}
		timely, late = expire(at, timely, late)
		timely, capacity, out.InTime = serve(timely, capacity, out.InTime)
		late, capacity, out.Late = serve(late, capacity, out.Late)
	}
	out.Lost = out.Asked - out.InTime - out.Late
	return out, nil
}

// wanted are the requests of a run that reach a living balancer at all, and those that do not, in order of their first packet.
func (o Options) wanted() []wanted {
	arrivals := rand.New(rand.NewPCG(o.Seed, 2))
	trip := 2*o.Caller + 2*localDelay
	var out []wanted
	for at := time.Duration(0); at < o.Length; {
		began := epoch.Add(at)
		out = append(out, wanted{
			first:  o.firstPacket(at),
			inTime: began.Add(o.Aim - trip - o.Work),
			budget: began.Add(o.Budget - trip - o.Work),
		})
		at += time.Duration(arrivals.ExpFloat64() / (o.rate() * o.burstAt(at)) * float64(time.Second))
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].first.Before(out[j].first) })
	return out
}

// firstPacket is when the first packet of a request arrives while there is power: a copy of the opening packet, or a further try.
func (o Options) firstPacket(began time.Duration) time.Time {
	for try := range o.Tries {
		for _, copied := range copyTimes {
			sent := began + time.Duration(try)*(openTime+o.RetryPause) + copied
			if !o.dark(sent + o.Caller) {
				return epoch.Add(sent + 2*o.Caller)
			}
		}
	}
	return epoch.Add(began + o.Budget)
}

// dark reports whether a power loss is at work, starts of daemons included.
func (o Options) dark(at time.Duration) bool {
	for _, f := range o.Faults {
		if f.Kind == PowerLoss && at >= f.At && at < f.At+f.For+startDelay {
			return true
		}
	}
	return false
}

// burstAt is the multiple of the load.
func (o Options) burstAt(at time.Duration) float64 {
	for _, f := range o.Faults {
		if f.Kind == Burst && at >= f.At && at < f.At+f.For {
			return f.Factor
		}
	}
	return 1
}

// capacityAt is the number of requests a second that all targets can work off.
func (o Options) capacityAt(at time.Duration) float64 {
	whole := float64(o.Targets*o.Slots) / o.Work.Seconds()
	for _, f := range o.Faults {
		during := at >= f.At && at < f.At+f.For
		cold := at >= f.At+f.For && at < f.At+f.For+o.ColdTime
		switch {
		case f.Kind == PowerLoss && during:
			return 0
		case f.Kind == PowerLoss && cold:
			whole = o.coldCapacity(whole)
		case f.Kind == Restart && during, during && (f.Kind == Fails || f.Kind == Mute || f.Kind == Slow || f.Kind == Wrong):
			whole *= 1 - f.Share
		case f.Kind == Restart && cold:
			whole = whole*(1-f.Share) + f.Share*o.coldCapacity(whole)
		}
	}
	return whole
}

// coldCapacity is the number of requests a second that all targets can work off when they are cold.
func (o Options) coldCapacity(whole float64) float64 {
	slow := whole / o.ColdFactor
	if o.ColdPerSecond == 0 {
		return slow
	}
	return min(slow, float64(o.Targets)*o.ColdPerSecond)
}

// expire moves requests that cannot be answered in time any more to the late ones, and leaves those out whose callers have left.
func expire(at time.Time, timely, late []wanted) (stillTimely, stillLate []wanted) {
	for _, w := range timely {
		if at.After(w.inTime) {
			late = append(late, w)
		} else {
			stillTimely = append(stillTimely, w)
		}
	}
	for _, w := range late {
		if !at.After(w.budget) {
			stillLate = append(stillLate, w)
		}
	}
	return stillTimely, stillLate
}

// serve gives the capacity to requests in their order.
func serve(list []wanted, capacity float64, served int) (rest []wanted, left float64, total int) {
	n := min(len(list), int(capacity))
	return list[n:], capacity - float64(n), served + n
}
