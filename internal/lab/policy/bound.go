package policy

import (
	"math/rand/v2"
	"sort"
	"time"
)

// boundStep is the time resolution of Bound.
const boundStep = 5 * time.Millisecond

// demand is a request as Bound sees it.
type demand struct {
	// first is when its first packet can reach a running balancer; inTime and budget are the latest times at which its
	// work must begin for an answer in time and within the budget.
	first, inTime, budget time.Time
}

// Bound estimates the maximum that any system could serve in a run. It knows all requests and their tries in advance,
// shares the slots without loss or delay between VMs, and serves requests that can still be answered in time before
// late ones, in order of arrival. Packets of callers arrive at the times at which callers send them, and only while
// there is power. Failing, mute, wrong and slow targets are excluded for the duration of the fault; agents that die cost
// nothing. Packet loss is ignored.
func Bound(o Options) (Counts, error) {
	if err := o.check(); err != nil {
		return Counts{}, err
	}
	requests := o.demand()
	out := Counts{Requests: len(requests)}
	var timely, late []demand
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
	out.Lost = out.Requests - out.InTime - out.Late
	return out, nil
}

// demand returns all requests of a run, ordered by the arrival of their first packet.
func (o Options) demand() []demand {
	arrivals := rand.New(rand.NewPCG(o.Seed, 2))
	roundTrip := 2*o.Caller + 2*localDelay
	var out []demand
	for at := time.Duration(0); at < o.Length; {
		began := epoch.Add(at)
		out = append(out, demand{
			first:  o.firstPacket(at),
			inTime: began.Add(o.Aim - roundTrip - o.Work),
			budget: began.Add(o.Budget - roundTrip - o.Work),
		})
		at += time.Duration(arrivals.ExpFloat64() / (o.rate() * o.burstAt(at)) * float64(time.Second))
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].first.Before(out[j].first) })
	return out
}

// firstPacket returns when the first packet of a request arrives while there is power: an opening packet, a
// retransmission or a further try. If none does, it returns the end of the budget.
func (o Options) firstPacket(began time.Duration) time.Time {
	for try := range o.Tries {
		for _, offset := range openingPacketTimes {
			sent := began + time.Duration(try)*(openTimeout+o.RetryPause) + offset
			if !o.isPowerLost(sent + o.Caller) {
				return epoch.Add(sent + 2*o.Caller)
			}
		}
	}
	return epoch.Add(began + o.Budget)
}

// isPowerLost reports whether there is a power loss, including the start of the daemons after it.
func (o Options) isPowerLost(at time.Duration) bool {
	for _, f := range o.Faults {
		if f.Kind == PowerLoss && at >= f.At && at < f.At+f.For+startDelay {
			return true
		}
	}
	return false
}

// burstAt returns the factor by which a burst multiplies the load; 1 outside bursts.
func (o Options) burstAt(at time.Duration) float64 {
	for _, f := range o.Faults {
		if f.Kind == Burst && at >= f.At && at < f.At+f.For {
			return f.Factor
		}
	}
	return 1
}

// capacityAt returns the number of requests per second that all targets can serve.
func (o Options) capacityAt(at time.Duration) float64 {
	capacity := float64(o.Targets*o.Slots) / o.Work.Seconds()
	for _, f := range o.Faults {
		during := at >= f.At && at < f.At+f.For
		cold := at >= f.At+f.For && at < f.At+f.For+o.ColdTime
		switch {
		case f.Kind == PowerLoss && during:
			return 0
		case f.Kind == PowerLoss && cold:
			capacity = o.coldCapacity(capacity)
		case f.Kind == Restart && during, during && (f.Kind == Fails || f.Kind == Mute || f.Kind == Slow || f.Kind == Wrong):
			capacity *= 1 - f.Share
		case f.Kind == Restart && cold:
			capacity = capacity*(1-f.Share) + f.Share*o.coldCapacity(capacity)
		}
	}
	return capacity
}

// coldCapacity returns the number of requests per second that all targets can serve while they are cold.
func (o Options) coldCapacity(capacity float64) float64 {
	slow := capacity / o.ColdFactor
	if o.ColdPerSecond == 0 {
		return slow
	}
	return min(slow, float64(o.Targets)*o.ColdPerSecond)
}

// expire moves requests that can no longer be answered in time to the late ones, and removes those beyond their budget.
func expire(at time.Time, timely, late []demand) (stillTimely, stillLate []demand) {
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

// serve serves requests in order, as far as the capacity goes.
func serve(list []demand, capacity float64, served int) (rest []demand, left float64, total int) {
	n := min(len(list), int(capacity))
	return list[n:], capacity - float64(n), served + n
}
