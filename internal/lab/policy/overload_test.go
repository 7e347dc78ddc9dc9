package policy

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// overloadSeeds is the number of seeds of each overload test.
var overloadSeeds = flag.Uint64("overload-seeds", 2, "number of seeds of the overload tests")

// surge is a service of 40 targets behind 16 balancers in three data centres that is asked for 2.5 times its capacity for
// three seconds. Three in ten requests are urgent, and callers of refused flows come back twice.
func surge(seed uint64) Options {
	o := Defaults()
	o.Seed, o.Targets, o.Balancers, o.DataCentres, o.Callers = seed, 40, 16, 3, 900
	o.Load, o.Length, o.Aim, o.Budget = 0.6, 9*time.Second, 200*time.Millisecond, 3*time.Second
	o.Urgent = 0.3
	o.Faults = []Fault{{Kind: Burst, At: 4 * time.Second, For: 3 * time.Second, Share: 1, Factor: 2.5 / o.Load}}
	return o
}

// forEachSeed runs a check of the given options on several seeds.
func forEachSeed(t *testing.T, options func(seed uint64) Options, check func(t *testing.T, o Options, r *Result)) {
	t.Helper()
	t.Parallel()
	for seed := uint64(1); seed <= *overloadSeeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			o := options(seed)
			check(t, o, run(t, o))
		})
	}
}

func run(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(o)
	require.NoError(t, err)
	require.Zero(t, r.RanTwice, "seed %d", o.Seed)
	return r
}

// served is the share of requests that were answered.
func served(c Counts) float64 { return float64(c.InTime+c.Late) / float64(max(1, c.Requests)) }

func TestOverloadDoesNotKeepLowPriorityCallersWaitingUntilTheyGiveUp(t *testing.T) {
	forEachSeed(t, surge, func(t *testing.T, o Options, r *Result) {
		o.Without = policy.Without{ShedExcess: true}
		before := run(t, o)
		t.Logf("seed %d: urgent %.3f, tries timed out %d of %d before, in time %d of %d before",
			o.Seed, served(r.Urgent), r.TimedOut, before.TimedOut, r.InTime, before.InTime)
		require.GreaterOrEqual(t, served(r.Urgent), 0.95, "seed %d", o.Seed)
		require.LessOrEqual(t, 10*r.TimedOut, before.TimedOut, "seed %d", o.Seed)
		require.GreaterOrEqual(t, r.InTime, before.InTime, "seed %d", o.Seed)
	})
}

func TestOverloadIsSharedEvenlyByDataCentres(t *testing.T) {
	forEachSeed(t, surge, func(t *testing.T, o Options, r *Result) {
		least, most, mean := math.Inf(1), 0.0, 0.0
		for _, c := range r.DataCentres {
			least, most, mean = min(least, served(c)), max(most, served(c)), mean+served(c)/float64(len(r.DataCentres))
		}
		t.Logf("seed %d: served by data centre from %.3f to %.3f, mean %.3f", o.Seed, least, most, mean)
		require.LessOrEqual(t, max(mean-least, most-mean), 0.02, "seed %d", o.Seed)
	})
}

func TestACallerThatFloodsDoesNotDisplaceOthers(t *testing.T) {
	flooded := func(seed uint64) Options {
		o := surge(seed)
		o.Flood = 10 / float64(o.Callers)
		return o
	}
	forEachSeed(t, flooded, func(t *testing.T, o Options, r *Result) {
		o.Flood = 0
		calm := run(t, o)
		t.Logf("seed %d: the flooding caller is served %.3f of %d, the others %.3f, and %.3f without it", o.Seed, served(r.Flooder),
			r.Flooder.Requests, served(r.others()), served(calm.others()))
		require.GreaterOrEqual(t, served(r.others()), served(calm.others())-0.02, "seed %d", o.Seed)
	})
}

// others counts the requests of low priority of callers that do not flood.
func (r *Result) others() (sum Counts) {
	for _, c := range r.DataCentres {
		sum = sum.Plus(c)
	}
	return sum
}

func TestOverloadBeginsAndEndsOnceForEachSurge(t *testing.T) {
	forEachSeed(t, surge, func(t *testing.T, o Options, r *Result) {
		require.Equal(t, 2*o.Balancers, r.Saturations, "seed %d", o.Seed)
	})
}

func TestServiceRecoversWhenLostTargetsReturn(t *testing.T) {
	half := func(seed uint64) Options {
		o := surge(seed)
		o.Load, o.ColdTime, o.Length = 0.8, 0, 10*time.Second
		o.Faults = []Fault{{Kind: Restart, At: 4 * time.Second, For: 2 * time.Second, Share: 0.5}}
		return o
	}
	forEachSeed(t, half, func(t *testing.T, o Options, r *Result) {
		o.Faults = nil
		undisturbed := run(t, o).Windows[4].Worth()
		t.Logf("seed %d: urgent %.3f, last window %.3f, %.3f undisturbed", o.Seed, served(r.Urgent), r.Windows[4].Worth(), undisturbed)
		require.GreaterOrEqual(t, served(r.Urgent), 0.95, "seed %d", o.Seed)
		require.GreaterOrEqual(t, r.Windows[4].Worth(), undisturbed-0.05, "seed %d", o.Seed)
		require.Positive(t, r.Saturations, "seed %d", o.Seed)
	})
}

// The agents of a service with one priority order its flows by who can be answered in time.
func TestOverloadOfOnePriorityRefusesNothingThatWasServedBefore(t *testing.T) {
	one := func(seed uint64) Options {
		o := surge(seed)
		o.Urgent = 0
		return o
	}
	forEachSeed(t, one, func(t *testing.T, o Options, r *Result) {
		o.Without = policy.Without{ShedExcess: true}
		require.Equal(t, run(t, o).String(), r.String(), "seed %d", o.Seed)
	})
}
