// Package baseline implements simple target selection policies that serve as baselines in measurements.
//
// The choosers do not count open flows; the measurement does. They are not safe for concurrent use.
package baseline

import "github.com/cespare/xxhash/v2"

// Chooser chooses the target of a new flow.
type Chooser interface {
	// Choose returns the index of the target for a flow whose first packet reached the balancer of that index.
	Choose(balancer int, flow uint64) int
}

// Hash chooses by the flow's hash alone.
type Hash struct {
	Targets int
}

// Choose implements Chooser.
func (h Hash) Choose(_ int, flow uint64) int {
	return int(flow % uint64(h.Targets))
}

// RoundRobin has each balancer cycle through the targets independently of the other balancers.
type RoundRobin struct {
	targets int
	next    []int
}

// NewRoundRobin returns a RoundRobin whose balancers start at targets chosen by a hash, which may coincide.
func NewRoundRobin(targets, balancers int) *RoundRobin {
	r := &RoundRobin{targets: targets, next: make([]int, balancers)}
	for i := range r.next {
		r.next[i] = int(xxhash.Sum64([]byte{byte(i)}) % uint64(targets))
	}
	return r
}

// Choose implements Chooser.
func (r *RoundRobin) Choose(balancer int, _ uint64) int {
	i := r.next[balancer]
	r.next[balancer] = (i + 1) % r.targets
	return i
}

// LeastReported chooses the target that last reported the fewest open flows. Between reports its choice changes only
// among ties.
type LeastReported struct {
	loads []int
}

// NewLeastReported returns a LeastReported for which every target has reported 0.
func NewLeastReported(targets int) *LeastReported {
	return &LeastReported{loads: make([]int, targets)}
}

// Report records the number of open flows that a target reports; it is not verified.
func (l *LeastReported) Report(target, load int) { l.loads[target] = load }

// Choose implements Chooser. Ties are broken by the flow's hash.
func (l *LeastReported) Choose(_ int, flow uint64) int {
	n := len(l.loads)
	start := int(flow % uint64(n))
	best := start
	for i := range n {
		if at := (start + i) % n; l.loads[at] < l.loads[best] {
			best = at
		}
	}
	return best
}
