package flows

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/baseline"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/view"
)

var began = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

func callerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i))
}

func TestJudgeFlow(t *testing.T) {
	local := callerOf(1000)
	record := map[netip.AddrPort]refusal.Record{local: {Caller: local, Reason: refusal.ReasonTargetDied, DecidedBy: "r1"}}
	lost := map[netip.AddrPort]refusal.Record{local: {Caller: local, Reason: refusal.ReasonOwnerLost, DecidedBy: "r2"}}
	none := map[netip.AddrPort]refusal.Record{}
	killed := began.Add(time.Second)
	tests := map[string]struct {
		outcome outcome
		records map[netip.AddrPort]refusal.Record
		want    Result
	}{
		"intact":                   {outcome{verdict: verdictIntact, target: "r2"}, none, Result{}},
		"intact with a record":     {outcome{verdict: verdictIntact, target: "r2"}, record, Result{FalseRecords: 1}},
		"broken":                   {outcome{verdict: verdictBroken, target: "r2"}, none, Result{Broken: 1}},
		"broken with a record":     {outcome{verdict: verdictBroken, target: "r2"}, record, Result{Broken: 1}},
		"crossed":                  {outcome{verdict: verdictCrossed, target: "r2"}, none, Result{Crossed: 1}},
		"mixed":                    {outcome{verdict: verdictMixed, target: "r1"}, none, Result{Mixed: 1}},
		"killed":                   {outcome{verdict: verdictBroken, target: "r1"}, record, Result{Killed: 1, Explained: 1}},
		"killed without a record":  {outcome{verdict: verdictBroken, target: "r1"}, none, Result{Killed: 1}},
		"broken before the kill":   {outcome{verdict: verdictBroken, target: "r1", ended: began}, none, Result{Broken: 1}},
		"killed before any answer": {outcome{verdict: verdictBroken}, record, Result{Killed: 1, Explained: 1}},
		"owner lost at the kill":   {outcome{verdict: verdictBroken, started: began}, lost, Result{Killed: 1, Explained: 1}},
		"owner lost without cause": {outcome{verdict: verdictBroken, started: killed.Add(time.Millisecond)}, lost,
			Result{Broken: 1}},
		"refused without any account": {outcome{verdict: verdictBroken}, none, Result{Broken: 1}},
		"late work": {outcome{verdict: verdictIntact, target: "r3", started: began.Add(MaxDrainDelay + time.Second)}, none,
			Result{LateWork: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &run{events: newEvents(io.Discard)}
			r.events.killedTargets["r1"] = killed
			r.events.drained["r3"] = began
			o := tt.outcome
			o.plan = &plan{name: "f1", local: local}
			if o.ended.IsZero() {
				o.ended = killed.Add(time.Second)
			}
			var got Result
			r.judgeFlow(&got, &o, tt.records)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestViolations(t *testing.T) {
	tests := map[string]struct {
		result Result
		broken int
	}{
		"none":                  {Result{Flows: 10, Imbalance: 1.04, MeanOpen: 500}, 0},
		"broken":                {Result{Broken: 1}, 1},
		"crossed":               {Result{Crossed: 1}, 1},
		"mixed":                 {Result{Mixed: 1}, 1},
		"record missing":        {Result{Killed: 2, Explained: 1}, 1},
		"late work":             {Result{LateWork: 1}, 1},
		"imbalance":             {Result{Imbalance: 1.06, MeanOpen: minMeanOpen}, 1},
		"imbalance of few":      {Result{Imbalance: 1.2, MeanOpen: 8}, 0},
		"stall after a kill":    {Result{Kills: 1, StallP95: 4 * time.Second}, 1},
		"wait after a kill":     {Result{Kills: 1, NewFlowWait: 4 * time.Second}, 1},
		"fault not made":        {Result{Failures: []error{trace.NotFound("x")}}, 1},
		"all kinds of failures": {Result{Broken: 1, Crossed: 1, Mixed: 1}, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Len(t, tt.result.Violations(), tt.broken) })
	}
}

func TestMeasureCountsActiveTargetsOnly(t *testing.T) {
	got := measure([]TargetStatus{
		{ID: "a", Service: "s", State: view.StateActive, Open: 30},
		{ID: "b", Service: "s", State: view.StateActive, Open: 10},
		{ID: "c", Service: "s", State: view.StateDraining, Open: 90},
		{ID: "d", Service: "t", State: view.StateActive},
	})
	require.InDelta(t, 1.5, got["s"].ratio(), 1e-9)
	require.InDelta(t, 1, got["t"].ratio(), 1e-9)
}

func TestReplayMeasuresAtTheTimes(t *testing.T) {
	var outcomes []outcome
	for i := range 4 {
		outcomes = append(outcomes, outcome{
			plan:    &plan{service: "s", local: callerOf(i + 1), remote: callerOf(80)},
			started: began.Add(time.Duration(i) * time.Second),
			ended:   began.Add(time.Minute),
		})
	}
	times := []time.Time{began.Add(2500 * time.Millisecond), began.Add(3500 * time.Millisecond)}
	x := newReplay("s", outcomes, 2, 1, 1)
	require.InDelta(t, 4.0/3, x.run(baseline.NewRoundRobin(2, 1), nil, times), 1e-9, "2 and 1 flows, then 2 and 2")
	require.InDelta(t, 1, x.run(baseline.NewRoundRobin(2, 1), nil, times[1:]), 1e-9)
	least := baseline.NewLeastReported(2)
	reports := 0
	x.run(least, func([]int) { reports++ }, times)
	require.Equal(t, 5, reports, "once a second, and at the end")
}

func TestParseFaults(t *testing.T) {
	got, err := ParseFaults("planned, balancer-kill")
	require.NoError(t, err)
	require.Len(t, got, 7)
	got, err = ParseFaults("none")
	require.NoError(t, err)
	require.Empty(t, got)
	_, err = ParseFaults("earthquake")
	require.ErrorContains(t, err, "earthquake")
}
