// Package evidence decides what the answers of agents prove about a flow whose owner is searched for: who holds it, who
// may hold it, or that its target has ended. It answers the load after a loss of processes or power, when callers of many
// open flows send packets that no balancer and few agents know.
//
// It does no I/O and reads no clock. Only answers count as proof, never silence.
package evidence

import (
	"net/netip"
	"time"
)

// Answer is what an agent said about a flow.
type Answer uint8

// Answers.
const (
	// None: the agent has not answered since it was asked.
	None Answer = iota
	// Pending: the agent is about to give the flow to its target.
	Pending
	// Unknown: the agent cannot tell.
	Unknown
	// NotHeld: the agent knows all flows of its target, and this one is not among them.
	NotHeld
	// Returned: the target has returned a packet of the flow.
	Returned
	// Held: the target holds a flow of this key.
	Held
)

// excludes reports whether the answer proves that the target does not hold the flow.
func (a Answer) excludes() bool { return a == NotHeld || a == Returned }

// Verdict is what all answers together prove.
type Verdict uint8

// Verdicts.
const (
	// Undecided: an agent that may hold the flow has not answered.
	Undecided Verdict = iota
	// MayBeHeld: every agent has answered, and only some of them can hold the flow.
	MayBeHeld
	// Gone: no target holds the flow.
	Gone
)

// Incarnations returns the current incarnation of an agent; false when none is known.
type Incarnations func(agent netip.AddrPort) (uint64, bool)

// answer is an agent's answer and the incarnation that gave it.
type answer struct {
	incarnation uint64
	is          Answer
}

// Search is the evidence about one flow since its packet arrived. It is not safe for concurrent use.
type Search struct {
	since   time.Time
	answers map[netip.AddrPort]answer
}

// New returns the evidence about a flow whose first unclaimed packet arrived at the given time.
func New(since time.Time) *Search {
	return &Search{since: since, answers: make(map[netip.AddrPort]answer)}
}

// Since is when the first unclaimed packet arrived.
func (s *Search) Since() time.Time { return s.since }

// Record adds an answer that was given to a question of this search by the agent's current incarnation. An answer that
// excludes the flow is not replaced by a weaker one of the same incarnation, which may have been overtaken.
func (s *Search) Record(now time.Time, agent netip.AddrPort, is Answer, current Incarnations) {
	incarnation, known := current(agent)
	if !known || now.Before(s.since) {
		return
	}
	before := s.answers[agent]
	if before.incarnation == incarnation && before.is > is {
		return
	}
	s.answers[agent] = answer{incarnation: incarnation, is: is}
}

// of returns the agent's answer; one of an earlier incarnation does not count.
func (s *Search) of(agent netip.AddrPort, current Incarnations) Answer {
	a, answered := s.answers[agent]
	incarnation, known := current(agent)
	if !answered || !known || a.incarnation != incarnation {
		return None
	}
	return a.is
}

// Answered returns the agents that have answered, in their order.
func (s *Search) Answered(agents []netip.AddrPort, current Incarnations) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range agents {
		if s.of(a, current) != None {
			out = append(out, a)
		}
	}
	return out
}

// Unanswered returns the agents that have not answered, or may answer otherwise soon, in their order.
func (s *Search) Unanswered(agents []netip.AddrPort, current Incarnations) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range agents {
		if s.of(a, current) <= Pending {
			out = append(out, a)
		}
	}
	return out
}

// Unexcluded returns the holders that have not proved that their targets do not hold the flow, in their order.
func (s *Search) Unexcluded(holders []netip.AddrPort, current Incarnations) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range holders {
		if !s.of(h, current).excludes() {
			out = append(out, h)
		}
	}
	return out
}

// Verdict returns what the answers prove, given all agents beside which a target may hold the flow, and for MayBeHeld the
// agents that cannot tell, in the order of the holders.
func (s *Search) Verdict(holders []netip.AddrPort, current Incarnations) (Verdict, []netip.AddrPort) {
	if len(holders) == 0 {
		return Undecided, nil
	}
	var candidates []netip.AddrPort
	for _, h := range holders {
		switch a := s.of(h, current); {
		case a == Unknown:
			candidates = append(candidates, h)
		case !a.excludes():
			return Undecided, nil
		}
	}
	if len(candidates) > 0 {
		return MayBeHeld, candidates
	}
	return Gone, nil
}
