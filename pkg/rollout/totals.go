package rollout

import "time"

// Totals sums the counters of a service's agents by version. The sums never decrease: the counts of an agent that is
// gone are kept, a restarted agent counts as another, and duplicate readings of one agent count once. They include only
// what was counted after the first reading of each agent, so that an agent first seen late adds no jump; an agent whose
// counters were at zero after the previous reading adds all that it counted.
type Totals struct {
	agents map[agentKey]*agentTotals
	// last is the time of the previous call of Add; zero when there was none.
	last time.Time
}

type agentKey struct {
	agent       string
	incarnation uint64
}

type agentTotals struct {
	version    string
	base, last Counts
}

func NewTotals() *Totals {
	return &Totals{agents: make(map[agentKey]*agentTotals)}
}

// Add adds the readings of one time, in any order and with any number of readings of one agent.
func (t *Totals) Add(list []Reading, now time.Time) {
	fresh := make(map[agentKey]bool)
	for _, r := range list {
		key := agentKey{r.Agent, r.Incarnation}
		a, ok := t.agents[key]
		if !ok {
			a = &agentTotals{}
			t.agents[key] = a
			fresh[key] = true
		}
		a.version = r.Version
		a.last = a.last.highest(r.Counts)
	}
	for key := range fresh {
		t.agents[key].base = t.agents[key].last
	}
	for _, r := range list {
		if key := (agentKey{r.Agent, r.Incarnation}); fresh[key] && t.isCountedFromZero(r, now) {
			t.agents[key].base = Counts{}
		}
	}
	t.last = now
}

// isCountedFromZero reports whether all that an agent has counted was counted after the previous call of Add.
func (t *Totals) isCountedFromZero(r Reading, now time.Time) bool {
	return r.ZeroAge > 0 && !t.last.IsZero() && !now.Add(-r.ZeroAge).Before(t.last)
}

func (t *Totals) Of(version string) Counts {
	var sum Counts
	for _, a := range t.agents {
		if a.version != version {
			continue
		}
		since, _ := a.last.Since(a.base)
		sum = sum.Plus(since)
	}
	return sum
}
