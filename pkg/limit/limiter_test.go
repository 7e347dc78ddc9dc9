package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

var start = time.UnixMilli(1_700_000_000_000)

func newTestLimiter(slots int) *Limiter {
	return New(Options{Slots: slots, Rand: rand.New(rand.NewPCG(1, 1))})
}

func work(caller string, after time.Duration) *Work {
	return &Work{Caller: caller, Deadline: start.Add(after)}
}

// recordResponses makes the limiter observe requests that took d.
func recordResponses(t *testing.T, l *Limiter, d time.Duration) {
	t.Helper()
	for range 50 {
		w := work("teacher", time.Hour)
		require.Equal(t, VerdictStart, l.Admit(start.Add(-d), w).Verdict)
		l.Done(start, w, Outcome{Result: ResultAnswered, ResponseTime: d})
	}
}

func TestQueueAcceptsOnlyWorkThatCanMeetItsDeadline(t *testing.T) {
	l := newTestLimiter(1)
	recordResponses(t, l, 100*time.Millisecond)
	counts := map[Verdict]int{}
	for range 20 {
		counts[l.Admit(start, work("a", time.Second)).Verdict]++
	}
	require.Equal(t, 1, counts[VerdictStart])
	require.InDelta(t, 9, counts[VerdictWait], 1)
}

func TestRefusalHasRetryAfter(t *testing.T) {
	l := newTestLimiter(1)
	recordResponses(t, l, 100*time.Millisecond)
	var d Decision
	for range 20 {
		d = l.Admit(start, work("a", time.Second))
	}
	require.Equal(t, VerdictRefuse, d.Verdict)
	require.Equal(t, refusal.ReasonDeadline, d.Reason)
	require.GreaterOrEqual(t, d.RetryAfter, 100*time.Millisecond)
	require.Less(t, d.RetryAfter, 2*time.Second)
}

func TestCallersAreServedInTurn(t *testing.T) {
	l := newTestLimiter(1)
	running := work("greedy", time.Hour)
	require.Equal(t, VerdictStart, l.Admit(start, running).Verdict)
	for range 10 {
		l.Admit(start, work("greedy", time.Hour))
	}
	modest := work("modest", time.Hour)
	require.Equal(t, VerdictWait, l.Admit(start, modest).Verdict)
	first := l.Done(start, running, Outcome{Result: ResultIgnored})
	second := l.Done(start, first[0], Outcome{Result: ResultIgnored})
	require.Same(t, modest, second[0])
}

func TestModestCallerDisplacesLongestQueue(t *testing.T) {
	l := newTestLimiter(1)
	recordResponses(t, l, 100*time.Millisecond)
	for range 20 {
		l.Admit(start, work("greedy", time.Second))
	}
	d := l.Admit(start, work("modest", time.Second))
	require.Equal(t, VerdictWait, d.Verdict)
	require.Len(t, d.Refused, 1)
	require.Equal(t, "greedy", d.Refused[0].Caller)
}

func TestWaitingWorkIsRefusedWhenItsDeadlineCannotBeMet(t *testing.T) {
	l := newTestLimiter(1)
	recordResponses(t, l, 100*time.Millisecond)
	l.Admit(start, work("a", time.Hour))
	w := work("a", 300*time.Millisecond)
	require.Equal(t, VerdictWait, l.Admit(start, w).Verdict)
	require.Equal(t, VerdictWait, l.Poll(start.Add(50*time.Millisecond), w).Verdict)
	require.Equal(t, VerdictRefuse, l.Poll(start.Add(250*time.Millisecond), w).Verdict)
	require.True(t, l.Leave(w))
	require.Equal(t, 0, l.Load(start).Waiting)
}

func TestLeaveFailsOnceWorkHasStarted(t *testing.T) {
	l := newTestLimiter(1)
	first, second := work("a", time.Hour), work("a", time.Hour)
	l.Admit(start, first)
	l.Admit(start, second)
	require.False(t, l.Leave(first))
	require.Equal(t, []*Work{second}, l.Done(start, first, Outcome{Result: ResultIgnored}))
	require.False(t, l.Leave(second))
}

func TestSheddingTargetGetsNoRequestBeforeRetryAfter(t *testing.T) {
	l := newTestLimiter(4)
	w := work("a", time.Hour)
	l.Admit(start, w)
	l.Done(start, w, Outcome{Result: ResultShed, RetryAfter: 2 * time.Second})
	require.Equal(t, 0, l.Load(start.Add(time.Second)).Limit)
	waiting := work("a", time.Hour)
	require.Equal(t, VerdictWait, l.Admit(start, waiting).Verdict)
	require.Equal(t, VerdictWait, l.Poll(start.Add(1900*time.Millisecond), waiting).Verdict)
	require.Equal(t, VerdictStart, l.Poll(start.Add(2*time.Second), waiting).Verdict)
	require.Equal(t, 2, l.Load(start.Add(2*time.Second)).Limit)
}

func TestColdTargetStartsSlowly(t *testing.T) {
	l := New(Options{Slots: 4, Cold: true, Rand: rand.New(rand.NewPCG(1, 1))})
	for want := 1; want <= 4; want++ {
		require.Equal(t, want, l.Load(start).Limit)
		w := work("a", time.Hour)
		l.Admit(start, w)
		l.Done(start, w, Outcome{Result: ResultAnswered, ResponseTime: time.Millisecond})
	}
	require.Equal(t, 4, l.Load(start).Limit)
}

func TestStalledTargetIsObservedBeforeItAnswers(t *testing.T) {
	l := newTestLimiter(1)
	recordResponses(t, l, 10*time.Millisecond)
	l.Admit(start, work("a", time.Hour))
	now := start.Add(5 * time.Second)
	d := l.Admit(now, &Work{Caller: "b", Deadline: now.Add(time.Second)})
	require.Equal(t, VerdictRefuse, d.Verdict)
}

func TestRecoveredTargetIsUsedAgain(t *testing.T) {
	l := newTestLimiter(2)
	recordResponses(t, l, 10*time.Second)
	trial := work("a", time.Second)
	require.Equal(t, VerdictStart, l.Admit(start, trial).Verdict)
	require.Equal(t, VerdictRefuse, l.Admit(start, work("a", time.Second)).Verdict)
	l.Done(start.Add(10*time.Millisecond), trial, Outcome{Result: ResultAnswered, ResponseTime: 10 * time.Millisecond})
	for range 2 {
		require.Equal(t, VerdictStart, l.Admit(start, work("a", time.Second)).Verdict)
	}
}

func TestSlotsChangeWhileWorkWaits(t *testing.T) {
	l := newTestLimiter(1)
	first, second := work("a", time.Hour), work("a", time.Hour)
	l.Admit(start, first)
	l.Admit(start, second)
	require.Equal(t, []*Work{second}, l.SetSlots(start, 2))
	require.Empty(t, l.SetSlots(start, 1))
	third := work("a", time.Hour)
	require.Equal(t, VerdictWait, l.Admit(start, third).Verdict)
	require.Empty(t, l.Done(start, first, Outcome{Result: ResultIgnored}))
	require.Equal(t, []*Work{third}, l.Done(start, second, Outcome{Result: ResultIgnored}))
}

func TestCloseReturnsWaitingWork(t *testing.T) {
	l := newTestLimiter(1)
	running, waiting := work("a", time.Hour), work("b", time.Hour)
	l.Admit(start, running)
	l.Admit(start, waiting)
	require.Equal(t, []*Work{waiting}, l.Close())
	require.Equal(t, refusal.ReasonDraining, l.Poll(start, waiting).Reason)
	require.Empty(t, l.Done(start, running, Outcome{Result: ResultAnswered}))
	require.Equal(t, refusal.ReasonDraining, l.Admit(start, work("a", time.Hour)).Reason)
}

func TestPauseReturnsWaitingWorkUntilResume(t *testing.T) {
	l := newTestLimiter(1)
	running, waiting := work("a", time.Hour), work("b", time.Hour)
	l.Admit(start, running)
	l.Admit(start, waiting)
	require.Equal(t, []*Work{waiting}, l.Pause())
	require.Equal(t, refusal.ReasonEvacuated, l.Poll(start, waiting).Reason)
	require.Empty(t, l.Done(start, running, Outcome{Result: ResultAnswered}))
	require.Equal(t, refusal.ReasonEvacuated, l.Admit(start, work("a", time.Hour)).Reason)
	l.Resume()
	require.Equal(t, VerdictStart, l.Admit(start, work("a", time.Hour)).Verdict)
	l.Close()
	l.Resume()
	require.Equal(t, refusal.ReasonDraining, l.Admit(start, work("a", time.Hour)).Reason, "a closed limiter stays closed after Resume")
}

func TestRunningNeverExceedsTheSlots(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	l := New(Options{Slots: 3, Queue: 8, Rand: r})
	now := start
	var running []*Work
	for range 20_000 {
		now = now.Add(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
		if r.IntN(2) == 0 || len(running) == 0 {
			w := &Work{Caller: fmt.Sprint(r.IntN(5)), Deadline: now.Add(time.Second)}
			d := l.Admit(now, w)
			if d.Verdict == VerdictStart {
				running = append(running, w)
			}
			running = append(running, without(d.Started, w)...)
		} else {
			i := r.IntN(len(running))
			w := running[i]
			running = append(running[:i], running[i+1:]...)
			result := Result(1 + r.IntN(4))
			running = append(running, l.Done(now, w, Outcome{Result: result, ResponseTime: time.Millisecond})...)
		}
		require.LessOrEqual(t, len(running), 3)
		require.Equal(t, len(running), l.Load(now).Busy)
		require.LessOrEqual(t, l.Load(now).Waiting, 8)
	}
}

func without(list []*Work, w *Work) []*Work {
	var rest []*Work
	for _, v := range list {
		if v != w {
			rest = append(rest, v)
		}
	}
	return rest
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			retries++
		}
	}
	require.InDelta(t, 110, retries, 2)
}

func BenchmarkAdmitDone(b *testing.B) {
	l := newTestLimiter(3)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		w := &Work{Caller: "a", Deadline: now.Add(time.Second)}
		l.Admit(now, w)
		l.Done(now, w, Outcome{Result: ResultAnswered, ResponseTime: time.Millisecond})
	}
}

func BenchmarkRefuseAtFullQueue(b *testing.B) {
	l := newTestLimiter(3)
	for i := range 300 {
		l.Admit(start, work(fmt.Sprint(i%50), time.Hour))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Admit(start, work("0", time.Hour))
	}
}
