package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

const (
	// compareTick is the simulated time between two evaluations.
	compareTick = 30 * time.Second
	// compareLimit is the time after which a run counts as undecided.
	compareLimit = 48 * time.Hour
)

// Outcome is the result of one gate in one scenario, over many seeds.
type Outcome struct {
	Gate     string
	Scenario Scenario
	Runs     int
	// FalsePromotions are runs in which a harmful version took every new flow.
	FalsePromotions int
	// FalseRollbacks are runs in which a harmless version was rolled back.
	FalseRollbacks int
	// Undecided are runs that did not end.
	Undecided int
	// PromoteTime is the median time from the start to the promotion; 0 when there was none.
	PromoteTime time.Duration
	// RollbackTime is the median time from the start to the rollback; 0 when there was none.
	RollbackTime time.Duration
	// Harmed is the mean number of failures of the new version in a run.
	Harmed float64
}

// Comparison is a set of runs that compares gates; all gates get the same seeds.
type Comparison struct {
	Gates     []Gate
	Scenarios []Scenario
	Rollout   resource.Rollout
	Runs      int
	Seed      uint64
}

// DefaultComparison compares the three gates on Scenarios with the steps 5, 25, 50 and 100 percent.
func DefaultComparison(runs int, seed uint64) Comparison {
	window := resource.Duration(5 * time.Minute)
	return Comparison{
		Gates:     []Gate{FixedThreshold{}, RelativeBurn{}, ConfidentBurn{}},
		Scenarios: Scenarios(),
		Rollout: resource.Rollout{
			From: "old", To: "new", Objective: 0.999, MaxBurnRatio: 1.5,
			Steps: []resource.RolloutStep{
				{Weight: 5, Window: window}, {Weight: 25, Window: window},
				{Weight: 50, Window: window}, {Weight: 100, Window: window},
			},
		},
		Runs: runs,
		Seed: seed,
	}
}

// Run runs every gate in every scenario.
func (c Comparison) Run() []Outcome {
	var out []Outcome
	for i, s := range c.Scenarios {
		for _, g := range c.Gates {
			out = append(out, c.measure(s, g, c.Seed+uint64(i)<<32))
		}
	}
	return out
}

func (c Comparison) measure(s Scenario, g Gate, seed uint64) Outcome {
	o := Outcome{Gate: g.Name(), Scenario: s, Runs: c.Runs}
	var promoted, back []time.Duration
	for i := range c.Runs {
		r := c.runOnce(s, g, seed+uint64(i))
		o.Harmed += float64(r.harmed) / float64(c.Runs)
		switch r.state {
		case resource.RolloutCompleted:
			promoted = append(promoted, r.took)
		case resource.RolloutRolledBack:
			back = append(back, r.took)
		default:
			o.Undecided++
		}
	}
	if s.Harmful {
		o.FalsePromotions = len(promoted)
	} else {
		o.FalseRollbacks = len(back)
	}
	o.PromoteTime = median(promoted)
	o.RollbackTime = median(back)
	return o
}

// run is the result of one rollout.
type run struct {
	state  resource.RolloutState
	took   time.Duration
	harmed uint64
}

func (c Comparison) runOnce(s Scenario, g Gate, seed uint64) run {
	rng := rand.New(rand.NewPCG(seed, 1))
	var begin time.Time
	state := Step(c.Rollout, resource.RolloutStatus{}, Evidence{}, g, begin)
	var e Evidence
	var out run
	noise := 1.0
	for at := time.Duration(0); at < compareLimit && state.State == resource.RolloutProgressing; at += compareTick {
		if at%time.Minute == 0 {
			noise = math.Exp(s.Noise*rng.NormFloat64() - s.Noise*s.Noise/2)
		}
		old, fresh := s.draw(rng, at, noise, float64(state.Weight)/fullWeight)
		out.harmed += fresh.Failures
		out.took = at + compareTick
		e = e.Add(StepCounts{Old: old, New: fresh}, begin.Add(out.took).Sub(state.Since))
		next := Step(c.Rollout, state, e, g, begin.Add(out.took))
		if next.Step != state.Step {
			e = e.Next()
		}
		state = next
	}
	out.state = state.State
	return out
}

// draw returns the counts of both versions within one tick.
func (s Scenario) draw(rng *rand.Rand, at time.Duration, noise, weight float64) (Counts, Counts) {
	total := s.PerMinute * compareTick.Minutes()
	old, fresh := s.rates(at, noise)
	return drawCounts(rng, total*(1-weight), old), drawCounts(rng, total*weight, fresh)
}

func drawCounts(rng *rand.Rand, mean, rate float64) Counts {
	if mean <= 0 {
		return Counts{}
	}
	n := distuv.Poisson{Lambda: mean, Src: rng}.Rand()
	if n == 0 {
		return Counts{}
	}
	f := distuv.Binomial{N: n, P: rate, Src: rng}.Rand()
	return Counts{Requests: uint64(n), Failures: uint64(f)}
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}
