package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// faultKind is a kind of event that is injected into a run.
type faultKind int

const (
	faultOutage faultKind = iota
	faultLostAnswers
	faultLateWrites
	faultSlowStore
	faultWatchGap
	faultPause
	faultPauseAtHead
	faultKill
	faultJoin
	faultKinds
)

// fault is an injected event: its delay after the previous one, its duration and the process it affects.
type fault struct {
	kind   faultKind
	after  time.Duration
	length time.Duration
	pick   int
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			after:  time.Duration(rapid.IntRange(100, 3000).Draw(t, "after")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(500, 9000).Draw(t, "length")) * time.Millisecond,
			pick:   rapid.IntRange(0, maxProcesses-1).Draw(t, "process"),
		}
	}), 3, 10).Draw(t, "faults")
}

const (
	historyServices  = 4
	historyOperators = 2
	// settleTime is the time a run gets to converge after its last fault: a lease's duration, a watch and the resync.
	settleTime = 40 * time.Second
	// logTail is the number of log lines printed with a failure.
	logTail = 60
)

// runHistory simulates one run and returns the first violation, or an empty string.
func runHistory(t *testing.T, seed uint64, v variant, faults []fault) (bad string) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(seed, v)
		defer func() {
			w.stop()
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		for range 3 {
			w.join()
		}
		operators, stopOperators := context.WithCancel(w.ctx)
		for i := range historyOperators {
			go w.operate(operators, i)
		}
		for _, f := range faults {
			time.Sleep(f.after)
			w.inject(f)
		}
		time.Sleep(10 * time.Second)
		stopOperators()
		w.clearFaults()
		time.Sleep(settleTime)
		bad = w.history.check()
		if bad == "" {
			bad = w.checkConverged(t)
		}
		if bad != "" {
			bad += "\n" + w.tail(logTail)
		}
	})
	return bad
}

// operate writes services by conditional update, racing with the other operators.
func (w *simulation) operate(ctx context.Context, id int) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(150+37*id) * time.Millisecond)
		v := testService(fmt.Sprintf("svc-%d", n%historyServices), fmt.Sprintf("10.0.0.%d", (n+id)%(historyServices+1)), 0).Service
		v.Spec.Limits.Queue = uint32(n*historyOperators + id)
		if n%7 == 6 {
			v.Spec.Mode = "wrong"
		}
		b, _ := json.Marshal(v)
		o, err := w.store.Get(ctx, resource.KindService, v.Name)
		if err != nil {
			_, _ = w.store.Create(ctx, resource.KindService, v.Name, b)
			continue
		}
		o.Value = b
		_, _ = w.store.Update(ctx, o)
	}
}

func (w *simulation) inject(f fault) {
	live := w.live()
	p := live[f.pick%len(live)]
	switch f.kind {
	case faultOutage:
		w.store.SetFaults(store.Faults{Outage: true})
		time.AfterFunc(f.length, func() { w.store.SetFaults(store.Faults{}) })
	case faultLostAnswers:
		w.store.SetFaults(store.Faults{LoseShare: 0.3, DropShare: 0.2})
	case faultLateWrites:
		w.setLate(0.2)
	case faultSlowStore:
		w.store.SetFaults(store.Faults{Latency: 100 * time.Millisecond, Jitter: 500 * time.Millisecond})
	case faultWatchGap:
		w.store.ClearHistory()
	case faultPause:
		p.pause(f.length)
	case faultPauseAtHead:
		w.setPauseAtHead(f.length)
	case faultKill:
		if len(live) > 1 {
			p.kill()
		}
	case faultJoin:
		w.join()
	}
}

func (w *simulation) setLate(p float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = p
}

func (w *simulation) setPauseAtHead(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauseAtHead = d
}

func (w *simulation) clearFaults() {
	w.store.SetFaults(store.Faults{})
	w.setLate(0)
	w.setPauseAtHead(0)
}

// checkConverged checks that every live balancer has the accepted revision, that it holds the last valid version of
// each service, and that each status is of the last version.
func (w *simulation) checkConverged(t *testing.T) string {
	o, err := w.store.Get(t.Context(), resource.KindHead, resource.HeadName)
	if err != nil {
		return err.Error()
	}
	var h resource.Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return err.Error()
	}
	for _, p := range w.live() {
		if got := p.adopter.Number(); got != h.Revision {
			return fmt.Sprintf("process %d has revision %d, the head names %d", p.id, got, h.Revision)
		}
	}
	list, _, err := w.store.List(t.Context(), resource.KindService)
	if err != nil {
		return err.Error()
	}
	r, err := Load(t.Context(), w.store, h)
	if err != nil {
		return err.Error()
	}
	if Compile(r, Inputs{Services: resource.ReadServices(list)}).Changed {
		return fmt.Sprintf("the head names %d, which lacks a change", h.Revision)
	}
	return w.checkStatuses(t, list)
}

func (w *simulation) checkStatuses(t *testing.T, services []objectapi.Object) string {
	for _, s := range services {
		o, err := w.store.Get(t.Context(), resource.KindServiceStatus, s.Name)
		if err != nil {
			return err.Error()
		}
		var st resource.ServiceStatus
		if err := json.Unmarshal(o.Value, &st); err != nil {
			return err.Error()
		}
		if st.ObservedVersion != s.Version {
			return fmt.Sprintf("status of %s is of version %d, not %d", s.Name, st.ObservedVersion, s.Version)
		}
		if st.AcceptedRevision != 0 && !st.InForce.Complete() {
			return fmt.Sprintf("status of %s counts %s", s.Name, st.InForce)
		}
	}
	return ""
}

func TestHistoryWithFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if bad := runHistory(t, seed, correct, drawFaults(rt)); bad != "" {
			rt.Fatal(bad)
		}
	})
}

// TestCheckerCatchesBrokenVariants checks that the checker of TestHistoryWithFaults rejects broken variants.
func TestCheckerCatchesBrokenVariants(t *testing.T) {
	pauses := []fault{{kind: faultPauseAtHead, after: 3 * time.Second, length: 8 * time.Second}}
	joins := []fault{
		{kind: faultJoin, after: time.Second},
		{kind: faultPause, after: time.Second, length: 5 * time.Second, pick: 1},
	}
	for _, c := range []struct {
		name    string
		variant variant
		faults  []fault
	}{
		{"unfenced holder", unfenced, pauses},
		{"balancer that adopts lower revisions", adoptsLower, joins},
	} {
		t.Run(c.name, func(t *testing.T) {
			if bad := runHistory(t, 1, correct, c.faults); bad != "" {
				t.Fatalf("the correct system fails on the same faults: %s", bad)
			}
			bad := runHistory(t, 1, c.variant, c.faults)
			if bad == "" {
				t.Fatal("the checker found nothing")
			}
			t.Log(bad)
		})
	}
}
