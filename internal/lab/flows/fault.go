package flows

import (
	"strings"

	"github.com/gravitational/trace"
)

// Fault is one kind of change or failure during a run.
type Fault string

const (
	FaultBalancerJoin  Fault = "balancer-join"
	FaultBalancerLeave Fault = "balancer-leave"
	FaultBalancerKill  Fault = "balancer-kill"
	FaultTargetJoin    Fault = "target-join"
	FaultTargetDrain   Fault = "target-drain"
	FaultUneven        Fault = "uneven-updates"
	FaultStoreDown     Fault = "store-down"
	// FaultTargetKill kills the process of a target; its agent keeps running.
	FaultTargetKill Fault = "target-kill"
	// FaultAgentKill kills the VM of a target: target and agent.
	FaultAgentKill Fault = "agent-kill"
	// FaultFalseDeath removes a live target from the views and adds it again, as when heartbeats are late. The cluster must
	// be a Suspecter.
	FaultFalseDeath Fault = "false-death"
)

// Faults lists every fault.
var Faults = []Fault{
	FaultBalancerJoin, FaultBalancerLeave, FaultBalancerKill, FaultTargetJoin, FaultTargetDrain, FaultUneven,
	FaultStoreDown, FaultTargetKill, FaultAgentKill, FaultFalseDeath,
}

// ParseFaults parses a comma-separated list; "planned" stands for all planned changes, uneven updates and an outage of the
// store, and "none" or an empty list for no fault.
func ParseFaults(list string) ([]Fault, error) {
	var out []Fault
	for _, word := range strings.Split(list, ",") {
		switch word = strings.TrimSpace(word); word {
		case "", "none":
			continue
		case "planned":
			out = append(out, FaultBalancerJoin, FaultBalancerLeave, FaultTargetJoin, FaultTargetDrain, FaultUneven, FaultStoreDown)
			continue
		}
		f, err := parseFault(word)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		out = append(out, f)
	}
	return out, nil
}

func parseFault(word string) (Fault, error) {
	for _, f := range Faults {
		if string(f) == word {
			return f, nil
		}
	}
	return "", trace.BadParameter("unknown fault %q, must be one of %v", word, Faults)
}
