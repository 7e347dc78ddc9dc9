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
	// FaultAnswerLost drops the responses to some writes that took effect.
	FaultAnswerLost Fault = "answer-lost"
	// FaultWatchGap expires watches, duplicates events and delays the events of some kinds.
	FaultWatchGap Fault = "watch-gap"
	// FaultLeasePaused delays the store calls of a lease holder until its lease has expired.
	FaultLeasePaused Fault = "lease-paused"
	// FaultBalancerKill kills balancers without a shutdown.
	FaultBalancerKill Fault = "balancer-kill"
	// FaultBalancerJoin starts balancers.
	FaultBalancerJoin Fault = "balancer-join"
	// FaultRacingOperators makes operators change one service, or claim one address, concurrently.
	FaultRacingOperators Fault = "racing-operators"
	// FaultRegionSplit partitions the balancers of two regions from each other.
	FaultRegionSplit Fault = "region-split"
)

// Faults lists every fault.
var Faults = []Fault{
	FaultStoreDown, FaultStoreSlow, FaultAnswerLost, FaultWatchGap, FaultLeasePaused, FaultBalancerKill,
	FaultBalancerJoin, FaultRacingOperators, FaultRegionSplit,
}

// ParseFaults parses a comma-separated list; "all" stands for every fault, "none" or an empty item for none.
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
			return nil, trace.BadParameter("unknown fault %q; known faults are %v", word, Faults)
		}
		out = append(out, Fault(word))
	}
	return out, nil
}
