package overload

import "time"

const (
	// updateInterval is the time between two computations of the shares; reports do not change them faster.
	updateInterval = 50 * time.Millisecond
	// settleTime is the time in which the wait is brought to the promised time.
	settleTime = time.Second
	// saturatedWeight is the weight of what is learnt during an overload about this balancer's part in all requests: what it
	// takes changes faster then than the reports of the targets.
	saturatedWeight = 0.1
	// minRate bounds the correction for requests that wait, as a share of the capacity.
	minRate = 0.8
	// DefaultAim is the promised time of services whose routes declare none.
	DefaultAim = 250 * time.Millisecond
)

// Service decides about the new flows of one service at one balancer.
type Service struct {
	Picture Picture

	arrivals [maxPriorities]arrivals
	shares   [maxPriorities]float64
	updated  time.Time
	// waitingSince is when the wait began to exceed the promised time, fittingSince when all demand began to fit again.
	waitingSince, fittingSince time.Time
	// saturatedSince is zero while the service is not overloaded.
	saturatedSince time.Time
}

// NewService returns the state of a service that is not overloaded.
func NewService() *Service {
	return &Service{shares: allTaken()}
}

func allTaken() [maxPriorities]float64 {
	var shares [maxPriorities]float64
	for p := range shares {
		shares[p] = 1
	}
	return shares
}

// Offered counts a new flow before the decision, with the factor by which the share of its caller is reduced.
func (s *Service) Offered(now time.Time, priority int, moderation float64) {
	s.of(priority).offered.record(now, moderation)
}

// Taken counts a new flow that is passed on to the targets.
func (s *Service) Taken(now time.Time, priority int) { s.of(priority).taken.record(now, s.weight()) }

// Later counts a further request on an open flow.
func (s *Service) Later(now time.Time, priority int) { s.of(priority).later.record(now, s.weight()) }

// weight is that of what is learnt now.
func (s *Service) weight() float64 {
	if s.Saturated() {
		return saturatedWeight
	}
	return 1
}

func (s *Service) of(priority int) *arrivals {
	a := &s.arrivals[clampPriority(priority)]
	a.init()
	return a
}

// Share returns the share of new flows of a priority that is taken, 1 while the service is not overloaded.
func (s *Service) Share(priority int) float64 { return s.shares[clampPriority(priority)] }

// Saturated reports whether the service is overloaded.
func (s *Service) Saturated() bool { return !s.saturatedSince.IsZero() }

// Update applies the current picture, given the response time that callers are promised. It reports whether an overload
// has begun or ended.
func (s *Service) Update(now time.Time, aim time.Duration) bool {
	elapsed := now.Sub(s.updated)
	if elapsed < updateInterval {
		return false
	}
	s.updated = now
	s.learn(now, elapsed)
	wait, known := s.Picture.wait()
	if !known {
		return s.end()
	}
	if !s.Saturated() && !s.exceeds(now, wait, aim) {
		return false
	}
	s.shares = s.sharesAt(now, wait, aim)
	if s.Saturated() {
		return s.fits(now, wait, aim) && s.end()
	}
	s.saturatedSince, s.fittingSince = now, time.Time{}
	return true
}

func (s *Service) learn(now time.Time, elapsed time.Duration) {
	for p := range s.arrivals {
		if a := &s.arrivals[p]; a.seen {
			a.learn(now, s.Picture.demand[p], s.weight()*min(elapsed, time.Second).Seconds())
		}
	}
}

// exceeds reports whether the requests that wait need more than the promised time. With one priority nobody can be served
// before others, and a short overload is left to the queues: it has to last for the promised time.
func (s *Service) exceeds(now time.Time, wait, aim time.Duration) bool {
	if wait <= aim {
		s.waitingSince = time.Time{}
		return false
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return s.competing() || now.Sub(s.waitingSince) > aim
}

// competing reports whether requests of different priorities are asked for.
func (s *Service) competing() bool { return len(s.Picture.demands()) > 1 }

// fits reports whether all demand has fitted into the capacity, and the waiting requests into the promised time, for the
// promised time.
func (s *Service) fits(now time.Time, wait, aim time.Duration) bool {
	if wait > aim || !s.takesAll() {
		s.fittingSince = time.Time{}
		return false
	}
	if s.fittingSince.IsZero() {
		s.fittingSince = now
	}
	return now.Sub(s.fittingSince) >= aim
}

func (s *Service) takesAll() bool {
	for _, share := range s.shares {
		if share < 1 {
			return false
		}
	}
	return true
}

// end ends an overload; it reports false when there is none.
func (s *Service) end() bool {
	s.shares = allTaken()
	if !s.Saturated() {
		return false
	}
	s.saturatedSince, s.waitingSince = time.Time{}, time.Time{}
	return true
}

// sharesAt computes the shares that bring the waiting requests to the promised time. All flows of the highest priority are
// taken: the agents order these by who can be answered in time, and know better than a balancer whom they cannot serve.
func (s *Service) sharesAt(now time.Time, wait, aim time.Duration) [maxPriorities]float64 {
	correction := (aim - wait).Seconds() / settleTime.Seconds()
	rate := s.Picture.capacity * max(minRate, 1+correction)
	shares := sharesOf(rate, s.demand(now))
	shares[s.highest()] = 1
	return shares
}

// highest is the highest priority that is asked for.
func (s *Service) highest() int {
	for p, perSecond := range s.Picture.demand {
		if perSecond >= minDemand {
			return p
		}
	}
	return 0
}

// demand estimates the demand of all callers. Of priorities that this balancer's callers do not ask for, it is what the
// targets report.
func (s *Service) demand(now time.Time) [maxPriorities]split {
	var out [maxPriorities]split
	for p := range out {
		out[p] = s.arrivals[p].split(now, s.Picture.demand[p])
	}
	return out
}
