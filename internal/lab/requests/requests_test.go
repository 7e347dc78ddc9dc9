package requests

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// testServiceTime is long enough for the race detector on a busy machine: requests delayed beyond the deadline end as
// unknown, which the checker does not accept without a death.
const testServiceTime = 100 * time.Millisecond

func TestAllFaultsMeetGuarantees(t *testing.T) {
	for _, name := range []string{"zarqa", "saobien"} {
		t.Run(name, func(t *testing.T) {
			o := Options{Deployment: name, ServiceTime: testServiceTime, Requests: 1500, Loads: []float64{0.9}, Faults: "all", Seed: 7, NoBaselines: true}
			r, err := Run(context.Background(), o, t.Output())
			require.NoError(t, err)
			require.Positive(t, r.Goodput)
		})
	}
}

func TestCheckerDetectsViolations(t *testing.T) {
	complete := func(body string) caller.Result {
		return caller.Result{Outcome: caller.OutcomeRan, Complete: true, Status: 200, Body: []byte(body)}
	}
	right := workBody("route-svc", 0, 100)
	tests := []struct {
		name   string
		runs   int
		result caller.Result
		want   string
		took   time.Duration
	}{
		{"kept", 1, complete(right), "", 0},
		{"late", 1, complete(right), "more than 1% of the complete responses were late", 2 * time.Second},
		{"doubled", 2, complete(right), "a non-idempotent request ran more than once", 0},
		{"reported as not run but ran", 1, caller.Result{Outcome: caller.OutcomeNotRun}, "a caller received the opposite of the actual outcome", 0},
		{"reported as run but did not run", 0, complete(right), "a caller received the opposite of the actual outcome", 0},
		{"cut", 1, complete(right[:20]), "a truncated response looked complete", 0},
		{"another's", 1, complete("reports-svc work 1\n"), "a response reached the wrong caller, or a request the wrong service", 0},
		{"unknown", 1, caller.Result{Outcome: caller.OutcomeUnknown}, "an outcome is unknown without a known cause", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newChecker(newTruth(1), newDeaths())
			for range tt.runs {
				c.truth.began(0)
			}
			c.add(completion{work: work{service: "route-svc", size: 100, deadline: time.Second}, result: tt.result, ended: time.Time{}.Add(tt.took)})
			require.Equal(t, tt.want, c.result.broken())
		})
	}
}
