package flows

import (
	"strings"

	"github.com/gravitational/trace"
)

// Fault is one kind of change or failure during a run.
type Fault string

// Faults.
const (
	FaultBalancerJoin  Fault = "balancer-join"
	FaultBalancerLeave Fault = "balancer-leave"
	FaultBalancerKill  Fault = "balancer-kill"
	FaultTargetJoin    Fault = "target-join"
	FaultTargetDrain   Fault = "target-drain"
	FaultUneven        Fault = "uneven-updates"
	FaultStoreDown     Fault = "store-down"
	// FaultTargetKill ends the process of a target; its agent lives on.
	FaultTargetKill Fault = "target-kill"
	// FaultAgentKill ends the VM of a target: target and agent.
	FaultAgentKill Fault = "agent-kill"
	// FaultFalseDeath lets the views drop a target that lives, and take it up again, as when heartbeats are late. Only
	// clusters that are a Suspecter can make it.
	FaultFalseDeath Fault = "false-death"
)

// Faults lists every fault.
var Faults = []Fault{
	FaultBalancerJoin, FaultBalancerLeave, FaultBalancerKill, FaultTargetJoin, FaultTargetDrain, FaultUneven,
	FaultStoreDown, FaultTargetKill, FaultAgentKill, FaultFalseDeath,
}

// ParseFaults reads a list that is separated by commas; "planned" stands for all planned changes, uneven updates and an
// outage of the store, and "none" or nothing for no fault.
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
	return "", trace.BadParameter("unknown fault %q, want some of %v", word, Faults)
}
