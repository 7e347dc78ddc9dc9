package capacity

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// limit describes a budget and the quantity that exhausts it.
type limit struct {
	// budget names the exhausted budget, and grows the quantity that its use grows with.
	budget, grows string
	// series is the line that reaches allowed, which is in the unit of the series. Without series and each, reached is
	// the size.
	series  string
	allowed float64
	reached float64
	// rest is the part of allowed that other causes use.
	rest []term
	// each, if set, is the cost of one event that occurs by itself; it replaces the series.
	each []term
	// planned is the size to design for.
	planned float64
}

// at returns the size at which the budget is exhausted.
func (l limit) at(s Samples) (float64, error) {
	rest, err := sum(s, l.rest)
	if err != nil {
		return 0, err
	}
	if l.each != nil {
		each, err := sum(s, l.each)
		return (l.allowed - rest) / each, err
	}
	if l.series == "" {
		return l.reached, nil
	}
	one, ok := s.Series(l.series)
	if !ok {
		return 0, errMissing(l.series)
	}
	f := one.Fit()
	return max(0, (l.allowed-rest-f.Intercept)/f.Slope), nil
}

func sum(s Samples, terms []term) (float64, error) {
	total := 0.0
	for _, t := range terms {
		v, err := t.value(s)
		if err != nil {
			return 0, err
		}
		total += v
	}
	return total, nil
}

// limits returns the budgets that may be exhausted first.
func limits() []limit {
	// Budgets of bytes apply to the ten seconds over which peer.DefaultBudget accumulates.
	const burst = 10 * budgetBytes
	return []limit{
		{budget: "300 writes, by claims asked for at one moment", grows: "agents that use up their burst at once", reached: budgetWrites / claimBurst, planned: fleetTargets},
		{budget: "2,000 reads/s, each balancer at its own limit of calls", grows: "balancers that call at that rate", reached: budgetReads / callRate, planned: fleetBalancers},
		{budget: "12 kB/s of a balancer", grows: "changes of members a second, lasting", series: "members changed one by one, bytes of a balancer", allowed: budgetBytes, planned: restartRate},
		{budget: "2% of a core of a balancer", grows: "changes of members a second, each by itself", allowed: budgetCore,
			rest: []term{
				at("control at rest, processor time of a balancer", fleetBalancers),
				slope("heartbeats, processor time of a balancer and its agents", agentsOfBalancer),
			},
			each: []term{at("members changed at once, processor time of a balancer", 1).by(0.1, "ms in %")}, planned: restartRate},
		{budget: "12 kB/s of a balancer", grows: "changes of configuration a second, lasting", allowed: budgetBytes,
			rest: []term{at("control at rest, bytes of a balancer", fleetBalancers), slope("heartbeats, bytes of a balancer", agentsOfBalancer)},
			each: []term{at("change of one service, bytes of a balancer", fleetBalancers)}, planned: configsPerSec},
		{budget: "256 MB of an agent, flows and collector", grows: "flows whose callers read nothing (none planned; set against all)",
			series: "flow whose caller reads nothing, heap and stacks of agent and caller", allowed: budgetMemory / toMB / heapFactor, planned: flowsOfAgent},
		{budget: "300 writes/s, first objects of a storm of refusals", grows: "balancers that refuse", reached: budgetWrites * refusalMin, planned: fleetBalancers},
		{budget: "12 kB/s of a balancer, over 10 s, for one change of configuration", grows: "balancers", series: "change of one service, bytes of a balancer", allowed: burst, planned: fleetBalancers},
		{budget: "12 kB/s of a balancer, over 10 s, for deaths at once", grows: "members that die", series: "members died at once, bytes of a balancer", allowed: burst, planned: deadInDataCentre},
		{budget: "12 kB/s of a balancer, over 10 s, for other changes at once", grows: "members that change", series: "members changed at once, bytes of a balancer", allowed: burst, planned: deadInDataCentre},
		{budget: "256 MB of a balancer, rows and collector", grows: "services", series: "view and rows in a balancer's memory", allowed: budgetMemory / toMB / heapFactor,
			rest: []term{at("cache of learned owners", 1<<19), at("member table", fleetMembers), at("held refusal records", maxHeld).by(2, "")}, planned: fleetServices},
		{budget: "256 MB of an agent, flows and collector", grows: "open flows of an agent", series: "open flow in an agent, heap and stacks", allowed: budgetMemory / toMB / heapFactor, planned: flowsOfAgent},
		{budget: "4 s, with reads paced to 1,000 a second", grows: "balancers", series: "change of configuration, reads", allowed: readRate * changesInForce.Seconds(), planned: fleetBalancers},
		{budget: "2,000 reads/s at rest", grows: "balancers", series: "reads of idle balancers, watches that wait 3 s", allowed: budgetReads * platformWait.Seconds() / watchWait.Seconds(), planned: fleetBalancers},
	}
}

// reachedLimit is a limit with the size at which it is reached.
type reachedLimit struct {
	limit
	size float64
}

func (r reachedLimit) factor() float64 { return r.size / r.planned }

// limitTable lists the limits in ascending order of their size relative to the plan.
func limitTable(s Samples) (string, error) {
	var list []reachedLimit
	for _, l := range limits() {
		size, err := l.at(s)
		if err != nil {
			return "", err
		}
		list = append(list, reachedLimit{limit: l, size: size})
	}
	slices.SortStableFunc(list, func(a, b reachedLimit) int { return cmp.Compare(a.factor(), b.factor()) })
	var b strings.Builder
	b.WriteString("| used up | grows with | at | plan | part of the plan |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range list {
		fmt.Fprintf(&b, "| %s | %s | **%s** | %s | %s |\n", r.budget, r.grows, number(r.size), number(r.planned), number(r.factor()))
	}
	return b.String(), nil
}

// exceededList lists the figures that exceed their budgets.
func exceededList(s Samples) (string, error) {
	var b strings.Builder
	for _, f := range figures() {
		v, err := f.value(s)
		if err != nil {
			return "", err
		}
		if f.budget > 0 && v > f.budget {
			fmt.Fprintf(&b, "- %s, %s: **%s %s** against %s\n", f.role, f.name, number(v), f.unit, number(f.budget))
		}
	}
	if b.Len() == 0 {
		return "No figure is above its budget.\n", nil
	}
	return b.String(), nil
}
