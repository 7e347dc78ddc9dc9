package flows

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/internal/lab/baseline"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// reportInterval is the time between two load reports to the least-reported baseline.
const reportInterval = time.Second

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

// replay feeds the flows of one service that a run recorded to a baseline, in the order in which they started and ended,
// and measures its imbalance at the given times.
type replay struct {
	outcomes []outcome
	changes  []change
	targets  int
	// balancers holds the randomly chosen balancer of each flow, the same for all baselines.
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

// run returns the worst ratio of highest to mean load at the given times. If report is not nil, it is called with the true
// loads every reportInterval.
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
			next = x.at.Add(reportInterval)
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

// baselines replays the flows of all services with every baseline and returns the worst ratio of each.
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

// reportTo reports the loads. With Options.LyingTarget, the first target reports 0.
func (r *run) reportTo(least *baseline.LeastReported, loads []int) {
	for i, n := range loads {
		if i == 0 && r.opts.LyingTarget {
			n = 0
		}
		least.Report(i, n)
	}
}
