package control

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Fault is one kind of failure during a run.
type Fault string

// Faults.
const (
	// FaultStoreDown takes the store down right after a revision was accepted.
	FaultStoreDown Fault = "store-down"
	// FaultStoreSlow delays every call of the store.
	FaultStoreSlow Fault = "store-slow"
	// FaultAnswerLost loses the answers of some writes that took effect.
	FaultAnswerLost Fault = "answer-lost"
	// FaultWatchGap lets watches expire, repeats events and holds kinds back.
	FaultWatchGap Fault = "watch-gap"
	// FaultLeasePaused holds the calls of a lease holder until its lease is over; then they go through.
	FaultLeasePaused Fault = "lease-paused"
	// FaultBalancerKill ends balancers without a word.
	FaultBalancerKill Fault = "balancer-kill"
	// FaultBalancerJoin starts balancers.
	FaultBalancerJoin Fault = "balancer-join"
	// FaultRacingOperators lets operators change one service, or claim one address, at the same time.
	FaultRacingOperators Fault = "racing-operators"
	// FaultRegionSplit keeps the balancers of two regions from calling each other.
	FaultRegionSplit Fault = "region-split"
)

// Faults lists every fault.
var Faults = []Fault{
	FaultStoreDown, FaultStoreSlow, FaultAnswerLost, FaultWatchGap, FaultLeasePaused, FaultBalancerKill,
	FaultBalancerJoin, FaultRacingOperators, FaultRegionSplit,
}

// ParseFaults reads a list that is separated by commas; "all" stands for every fault, "none" or nothing for no fault.
func ParseFaults(list string) ([]Fault, error) {
	var out []Fault
	for _, word := range strings.Split(list, ",") {
		switch word = strings.TrimSpace(word); word {
		case "", "none":
			continue
		case "all":
			out = append(out, Faults...)
			continue
		}
		if !slices.Contains(Faults, Fault(word)) {
			return nil, trace.BadParameter("unknown fault %q, want some of %v", word, Faults)
		}
		out = append(out, Fault(word))
	}
	return out, nil
}
