package requests

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// fault is the name of a kind of failure.
type fault string

// Faults.
const (
	faultTargetKill  fault = "target-kill"
	faultAgentKill   fault = "agent-kill"
	faultTargetShed  fault = "target-shed"
	faultColdStart   fault = "cold-start"
	faultSlowTarget  fault = "slow-target"
	faultLyingHealth fault = "lying-health"
	faultClaimLost   fault = "claim-answer-lost"
	faultCallerRetry fault = "caller-retry"
	faultCallerGone  fault = "caller-cancel"
	faultTargetDrain fault = "target-drain"
	faultTargetJoin  fault = "target-join"
	faultStoreDown   fault = "store-down"
)

var allFaults = faultSet{
	faultTargetKill, faultAgentKill, faultTargetShed, faultColdStart, faultSlowTarget, faultLyingHealth,
	faultClaimLost, faultCallerRetry, faultCallerGone, faultTargetDrain, faultTargetJoin, faultStoreDown,
}

type faultSet []fault

func parseFaults(text string) (faultSet, error) {
	switch text {
	case "all":
		return allFaults, nil
	case "", "none":
		return nil, nil
	}
	var set faultSet
	for name := range strings.SplitSeq(text, ",") {
		f := fault(strings.TrimSpace(name))
		if !slices.Contains(allFaults, f) {
			return nil, trace.BadParameter("unknown fault %q; known are %v", name, allFaults)
		}
		set = append(set, f)
	}
	return set, nil
}

func (s faultSet) has(f fault) bool { return slices.Contains(s, f) }
