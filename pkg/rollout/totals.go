package rollout

import "time"

// Totals sum the counters of a service's agents by version. The sums never fall: an agent that is gone keeps its part,
// a restarted one counts as another, and the same agent heard from several sides counts once. They hold only what was
// counted after the first reading of each agent, so that an agent that is heard late adds no jump; a new agent whose
// counters were at zero after the reading before adds all that it counted.
type Totals struct {
	agents map[agentKey]*agentTotals
	// last is the time of the reading before; zero when there was none.
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

// NewTotals returns totals of nothing.
func NewTotals() *Totals {
	return &Totals{agents: make(map[agentKey]*agentTotals)}
}

// Add takes in the readings of one time, in any order and with any number of readings of one agent.
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
		if key := (agentKey{r.Agent, r.Incarnation}); fresh[key] && t.began(r, now) {
			t.agents[key].base = Counts{}
		}
	}
	t.last = now
}

// began reports whether all that an agent has counted was counted after the reading before.
func (t *Totals) began(r Reading, now time.Time) bool {
	return r.ZeroAge > 0 && !t.last.IsZero() && !now.Add(-r.ZeroAge).Before(t.last)
}

// Of returns the counts of one version.
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
