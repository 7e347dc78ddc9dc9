package overload

import "time"

// Status describes a service for operators.
type Status struct {
	Service string
	// Capacity is the number of requests that the targets can finish in a second, Demands those that they are asked for.
	Capacity float64
	Demands  []Demand
	// Wait is the time in which the targets work off what waits.
	Wait time.Duration
	// Refused are the priorities of which new flows are refused; it is empty unless the service is overloaded.
	Refused []int
	// SaturatedSince is when the overload began, zero when there is none.
	SaturatedSince time.Time
}

// Status returns the current state.
func (s *Service) Status(name string) Status {
	wait, _ := s.Picture.wait()
	out := Status{
		Service: name, Capacity: s.Picture.capacity, Demands: s.Picture.demands(), Wait: wait, SaturatedSince: s.saturatedSince,
	}
	for p := range s.arrivals {
		if s.arrivals[p].seen && s.shares[p] < 1 {
			out.Refused = append(out.Refused, p)
		}
	}
	return out
}
