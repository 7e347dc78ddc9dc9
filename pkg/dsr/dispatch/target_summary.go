package dispatch

import "time"

// TargetSummary describes the targets of a service for operators.
type TargetSummary struct {
	// Ready is the number of targets that take new flows, AtConnectionLimit the number of those that hold as many flows as
	// the service allows, as far as they have reported.
	Ready             int
	AtConnectionLimit int
	// FastestWork and SlowestWork are the shortest and the longest reported time for a request among the ready targets; 0
	// when none has reported one.
	FastestWork time.Duration
	SlowestWork time.Duration
}

// Saturated reports whether every ready target holds as many flows as the service allows.
func (s TargetSummary) Saturated() bool { return s.Ready > 0 && s.AtConnectionLimit == s.Ready }

// TargetSummaries returns a summary for each service that has agents, by service.
func (b *Balancer) TargetSummaries(now time.Time) map[string]TargetSummary {
	out := make(map[string]TargetSummary, len(b.services))
	for service := range b.services {
		out[service] = b.targetSummary(now, service)
	}
	return out
}

func (b *Balancer) targetSummary(now time.Time, service string) TargetSummary {
	limit := 0
	if b.routes != nil {
		limit = b.routes.Declared(service).MaxConnections
	}
	var s TargetSummary
	for _, a := range b.services[service] {
		if !b.isUsable(now, a) {
			continue
		}
		s.Ready++
		if limit > 0 && a.flows >= limit {
			s.AtConnectionLimit++
		}
		s.addWork(a.workTime)
	}
	return s
}

func (s *TargetSummary) addWork(w time.Duration) {
	if w == 0 {
		return
	}
	if s.FastestWork == 0 || w < s.FastestWork {
		s.FastestWork = w
	}
	s.SlowestWork = max(s.SlowestWork, w)
}
