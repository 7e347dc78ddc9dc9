package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// runLocal sends the work to the agent's own target; the submission has a slot. A nil outcome means that the work has
// not run, or may run again, and needs another slot.
func (u *submission) runLocal() *outcome {
	if u.r.Context().Err() != nil || !u.begin() {
		u.done(limit.Outcome{Result: limit.ResultIgnored})
		return refused(callerGone())
	}
	u.s.logPlacement(u.r, "start", u.s.o.Agent, "slot free")
	ctx, cancel := u.startContext()
	defer cancel(nil)
	u.stream()
	u.attempts++
	start := u.s.o.Now()
	late := time.AfterFunc(u.deadline.Add(u.s.o.Grace).Sub(start), func() { cancel(errDeadline) })
	defer late.Stop()
	res, sent, err := send(u.s.target, u.s.outgoing(ctx, u, u.s.o.Target.String()))
	lead := u.s.o.Now().Sub(start)
	if err != nil {
		return u.localFailure(ctx, err, sent, lead)
	}
	defer res.Body.Close()
	if after, ok := shedAnswer(res); ok {
		return u.localShed(after)
	}
	if closeDelimited(res) {
		u.done(limit.Outcome{Result: limit.ResultAnswered, ResponseTime: lead})
		return refused(noLength())
	}
	late.Stop()
	defer u.boundOrphan(cancel)()
	removeOwnHeaders(res.Header)
	o := u.answer(res)
	u.done(limit.Outcome{Result: limit.ResultAnswered, ResponseTime: lead})
	return o
}

func (u *submission) localFailure(ctx context.Context, err error, sent bool, lead time.Duration) *outcome {
	if !sent {
		u.done(limit.Outcome{Result: limit.ResultFailed})
		u.back()
		u.failure = notConnected(err)
		return u.unlessGone(ctx)
	}
	u.done(limit.Outcome{Result: failureResult(ctx), ResponseTime: lead})
	return u.sent(ctx, err)
}

// unlessGone returns nil while somebody waits for work that was not sent.
func (u *submission) unlessGone(ctx context.Context) *outcome {
	switch {
	case context.Cause(ctx) == nil:
		return nil
	case context.Cause(ctx) == errDeadline:
		return refused(tooLateToSend())
	}
	return refused(callerGone())
}

// failureResult says what the limiter learns: a late target is slow, a cancelled request says nothing.
func failureResult(ctx context.Context) limit.Result {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return limit.ResultFailed
	case errors.Is(cause, errDeadline):
		return limit.ResultAnswered
	}
	return limit.ResultIgnored
}

// localShed handles a target that did not run the work. Only idempotent work is tried again.
func (u *submission) localShed(after time.Duration) *outcome {
	u.done(limit.Outcome{Result: limit.ResultShed, RetryAfter: after})
	u.failure = shedByTarget(u.s.o.Target.String(), after)
	if u.repeatable() && u.s.budget.Withdraw() {
		return nil
	}
	return refused(u.failure)
}

// shedAnswer reports whether a target refused to run the work: 503 with Retry-After (RFC 9110, section 10.2.3).
func shedAnswer(res *http.Response) (time.Duration, bool) {
	text := res.Header.Get("Retry-After")
	if res.StatusCode != http.StatusServiceUnavailable || text == "" {
		return 0, false
	}
	if seconds, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second, true
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return retryLater, true
	}
	return max(time.Until(at), 0), true
}

// answer passes a target's answer to the caller.
func (u *submission) answer(res *http.Response) *outcome {
	o := &outcome{status: res.StatusCode}
	var keep io.Writer = io.Discard
	if u.flight != nil {
		u.flight.answer = &keptAnswer{status: res.StatusCode}
		keep = u.flight.answer
	}
	copyHeader(u.w, res)
	if u.flight != nil {
		u.flight.answer.header = u.w.Header().Clone()
	}
	fromTarget, toCaller := copyBody(u.w, res, keep)
	o.lost = fromTarget != nil
	o.cut = o.lost || toCaller != nil
	if u.flight != nil {
		u.flight.answer.whole = !o.lost && len(res.Trailer) == 0
	}
	return o
}

// runOf reads the run state of a peer's refusal; empty for a target's answer.
func runOf(res *http.Response) refusal.Run { return refusal.Run(res.Header.Get(HeaderRun)) }
