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

// runLocal sends the work to the agent's own target; the submission holds a slot. A nil outcome means that the work has
// not run, or may be repeated, and needs another slot.
func (u *submission) runLocal() *outcome {
	if u.r.Context().Err() != nil || !u.startWork() {
		u.releaseSlot(limit.Outcome{Result: limit.ResultIgnored})
		return refused(callerGone())
	}
	u.s.logPlacement(u.r, "start", u.s.o.Agent, "slot free")
	ctx, cancel := u.workContext()
	defer cancel(nil)
	u.enableFullDuplex()
	u.attempts++
	start := u.s.o.Now()
	late := time.AfterFunc(u.deadline.Add(u.s.o.Grace).Sub(start), func() { cancel(errDeadline) })
	defer late.Stop()
	res, sent, err := send(u.s.target, u.s.outgoingRequest(ctx, u, u.s.o.Target.String()))
	lead := u.s.o.Now().Sub(start)
	if err != nil {
		return u.localFailure(ctx, err, sent, lead)
	}
	defer res.Body.Close()
	if after, ok := parseShed(res); ok {
		return u.localShed(after)
	}
	if closeDelimited(res) {
		u.releaseSlot(limit.Outcome{Result: limit.ResultAnswered, ResponseTime: lead})
		return refused(unframedResponse())
	}
	late.Stop()
	defer u.limitOrphan(cancel)()
	removeOwnHeaders(res.Header)
	o := u.reply(res)
	u.releaseSlot(limit.Outcome{Result: limit.ResultAnswered, ResponseTime: lead})
	return o
}

func (u *submission) localFailure(ctx context.Context, err error, afterSend bool, lead time.Duration) *outcome {
	if !afterSend {
		u.releaseSlot(limit.Outcome{Result: limit.ResultFailed})
		u.returnToWaiting()
		u.failure = connectFailed(err)
		return u.unsentOutcome(ctx)
	}
	u.releaseSlot(limit.Outcome{Result: failureResult(ctx), ResponseTime: lead})
	return u.afterSend(ctx, err)
}

// unsentOutcome returns nil, so that unsent work is tried again, unless its deadline has passed or its caller is gone.
func (u *submission) unsentOutcome(ctx context.Context) *outcome {
	switch {
	case context.Cause(ctx) == nil:
		return nil
	case context.Cause(ctx) == errDeadline:
		return refused(deadlineBeforeSend())
	}
	return refused(callerGone())
}

// failureResult returns the result for the limiter: a target that exceeds the deadline counts as slow, a cancelled
// request is ignored.
func failureResult(ctx context.Context) limit.Result {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return limit.ResultFailed
	case errors.Is(cause, errDeadline):
		return limit.ResultAnswered
	}
	return limit.ResultIgnored
}

// localShed handles a target that shed the request without running it. Only idempotent requests are retried.
func (u *submission) localShed(after time.Duration) *outcome {
	u.releaseSlot(limit.Outcome{Result: limit.ResultShed, RetryAfter: after})
	u.failure = shedByTarget(u.s.o.Target.String(), after)
	if u.isRepeatable() && u.s.budget.Withdraw() {
		return nil
	}
	return refused(u.failure)
}

// parseShed returns the Retry-After time of a target that shed the request: 503 with Retry-After (RFC 9110, section
// 10.2.3).
func parseShed(res *http.Response) (time.Duration, bool) {
	text := res.Header.Get("Retry-After")
	if res.StatusCode != http.StatusServiceUnavailable || text == "" {
		return 0, false
	}
	if seconds, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second, true
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return defaultRetryAfter, true
	}
	return max(time.Until(at), 0), true
}

// reply copies a response to the caller and, for a ticket, into the cached response.
func (u *submission) reply(res *http.Response) *outcome {
	o := &outcome{status: res.StatusCode}
	var cache io.Writer = io.Discard
	if u.inflight != nil {
		u.inflight.reply = &cachedResponse{status: res.StatusCode}
		cache = u.inflight.reply
	}
	copyHeader(u.w, res)
	if u.inflight != nil {
		u.inflight.reply.header = u.w.Header().Clone()
	}
	fromTarget, toCaller := copyBody(u.w, res, cache)
	o.incomplete = fromTarget != nil
	o.truncated = o.incomplete || toCaller != nil
	if u.inflight != nil {
		u.inflight.reply.complete = !o.incomplete && len(res.Trailer) == 0
	}
	return o
}

// runOf returns the run state of a peer's refusal; empty for a target's response.
func runOf(res *http.Response) refusal.Run { return refusal.Run(res.Header.Get(HeaderRun)) }
