package flows

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/internal/lab/baseline"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// reportEvery is the time between two load reports of a target to the baseline that goes by them.
const reportEvery = time.Second

// Names of the baselines.
const (
	baselineHash   = "plain hashing"
	baselineRobin  = "round robin on each balancer"
	baselineReport = "least of lagging reports"
)

// change is the start or the end of a flow.
type change struct {
	at   time.Time
	flow int
	open bool
}

// replay lets a baseline place the flows of one service that were really run, in the order in which they started and
// ended, and measures its imbalance at the given times.
type replay struct {
	outcomes []outcome
	changes  []change
	targets  int
	// balancers are drawn per flow, the same for each baseline.
	balancers []int
}

func newReplay(service string, outcomes []outcome, targets, balancers int, seed uint64) *replay {
	r := &replay{targets: targets}
	random := rand.New(rand.NewPCG(seed, 5))
	for _, o := range outcomes {
		if o.plan.service != service {
			continue
		}
		i := len(r.outcomes)
		r.outcomes = append(r.outcomes, o)
		r.balancers = append(r.balancers, random.IntN(balancers))
		r.changes = append(r.changes, change{at: o.started, flow: i, open: true}, change{at: o.ended, flow: i})
	}
	slices.SortFunc(r.changes, func(a, b change) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return r
}

// run returns the worst ratio of highest over mean at the times. Report, when not nil, is told the true loads at fixed
// intervals.
func (r *replay) run(c baseline.Chooser, report func(loads []int), times []time.Time) float64 {
	loads := make([]int, r.targets)
	chosen := make([]int, len(r.outcomes))
	worst := 1.0
	var next time.Time
	for _, x := range r.changes {
		for len(times) > 0 && times[0].Before(x.at) {
			worst = max(worst, ratioOf(loads))
			times = times[1:]
		}
		if report != nil && !x.at.Before(next) {
			report(loads)
			next = x.at.Add(reportEvery)
		}
		if !x.open {
			loads[chosen[x.flow]]--
			continue
		}
		o := r.outcomes[x.flow]
		key := flow.Key{Source: o.plan.local, Destination: o.plan.remote, Protocol: flow.ProtocolTCP}
		chosen[x.flow] = c.Choose(r.balancers[x.flow], key.Hash())
		loads[chosen[x.flow]]++
	}
	return worst
}

func ratioOf(loads []int) float64 {
	var b balance
	for _, n := range loads {
		b.highest = max(b.highest, float64(n))
		b.mean += float64(n) / float64(len(loads))
	}
	return b.ratio()
}

// baselines measures every baseline on the flows of all services and returns the worst ratio of each.
func (r *run) baselines(outcomes []outcome, times []time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, s := range r.deployment.Services {
		x := newReplay(s.Name, outcomes, s.Targets, r.opts.Balancers, r.opts.Seed)
		least := baseline.NewLeastReported(s.Targets)
		report := func(loads []int) { r.reportTo(least, loads) }
		worst := func(name string, ratio float64) { out[name] = max(out[name], ratio) }
		worst(baselineHash, x.run(baseline.Hash{Targets: s.Targets}, nil, times))
		worst(baselineRobin, x.run(baseline.NewRoundRobin(s.Targets, r.opts.Balancers), nil, times))
		worst(baselineReport, x.run(least, report, times))
	}
	return out
}

// reportTo reports the loads; with a lying target, the first one reports 0.
func (r *run) reportTo(least *baseline.LeastReported, loads []int) {
	for i, n := range loads {
		if i == 0 && r.opts.LyingTarget {
			n = 0
		}
		least.Report(i, n)
	}
}
