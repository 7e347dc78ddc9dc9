package request

import (
	"errors"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// statusClientClosed is the status recorded when the caller closed the connection; the response is not read.
const statusClientClosed = 499

// defaultRetryAfter is the retry time when there is no better estimate.
const defaultRetryAfter = time.Second

// Causes with which the context of a started request is cancelled.
var (
	errDeadline  = errors.New("the deadline is over")
	errClosed    = errors.New("the agent ended")
	errOrphaned  = errors.New("nobody reads the answer")
	errCancelled = errors.New("the caller cancelled")
)

func malformed(detail string) *Refusal {
	return &Refusal{Reason: refusal.ReasonMalformed, Status: http.StatusBadRequest, Detail: detail, Run: refusal.RunNo}
}

func callerGone() *Refusal {
	return &Refusal{Reason: refusal.ReasonCancelled, Status: statusClientClosed,
		Detail: "the caller went away or cancelled before the start", Run: refusal.RunNo}
}

func callerGoneRunning(cause error) *Refusal {
	return &Refusal{Reason: refusal.ReasonCancelled, Status: statusClientClosed,
		Detail: "the caller went away or cancelled after the start: " + cause.Error(), Run: refusal.RunUnknown}
}

func deadlineExceeded() *Refusal {
	return &Refusal{Reason: refusal.ReasonDeadline, Status: http.StatusGatewayTimeout,
		Detail: "the target did not answer before the deadline", Run: refusal.RunUnknown}
}

func deadlineBeforeSend() *Refusal {
	return &Refusal{Reason: refusal.ReasonDeadline, Status: http.StatusGatewayTimeout,
		Detail: "no connection before the deadline", Run: refusal.RunNo}
}

func notAdmitted(d limit.Decision) *Refusal {
	return &Refusal{Reason: d.Reason, Status: http.StatusServiceUnavailable, Detail: d.Detail, Run: refusal.RunNo,
		RetryAfter: d.RetryAfter}
}

func connectFailed(err error) *Refusal {
	return &Refusal{Reason: refusal.ReasonTargetRefused, Status: http.StatusServiceUnavailable,
		Detail: "the target took no connection: " + err.Error(), Run: refusal.RunNo, RetryAfter: defaultRetryAfter}
}

func responseLost(err error) *Refusal {
	return &Refusal{Reason: refusal.ReasonTargetFailed, Status: http.StatusBadGateway,
		Detail: "the connection ended before the answer: " + err.Error(), Run: refusal.RunUnknown}
}

func unframedResponse() *Refusal {
	return &Refusal{Reason: refusal.ReasonTargetFailed, Status: http.StatusBadGateway,
		Detail: "the target's answer has neither a length nor chunks, so a cut could not be seen", Run: refusal.RunUnknown}
}

func shedByTarget(target string, after time.Duration) *Refusal {
	return &Refusal{Reason: refusal.ReasonTargetShed, Status: http.StatusServiceUnavailable, DecidedBy: target,
		Detail: "the target answered 503 with Retry-After", Run: refusal.RunNo, RetryAfter: max(after, defaultRetryAfter/10)}
}

func retryBudgetSpent(err error) *Refusal {
	return &Refusal{Reason: refusal.ReasonRetryBudget, Status: http.StatusBadGateway,
		Detail: "the retry budget is spent; " + err.Error(), Run: refusal.RunUnknown, RetryAfter: defaultRetryAfter}
}

func wrongService(asked string) *Refusal {
	return &Refusal{Reason: refusal.ReasonWrongService, Status: http.StatusMisdirectedRequest,
		Detail: "this agent does not serve " + asked, Run: refusal.RunNo}
}

func tooManyHops() *Refusal {
	return &Refusal{Reason: refusal.ReasonAllFull, Status: http.StatusServiceUnavailable,
		Detail: "the request was passed on too often", Run: refusal.RunNo, RetryAfter: defaultRetryAfter}
}

func issuerUnavailable(submission refusal.Run, detail string) *Refusal {
	return &Refusal{Reason: refusal.ReasonTicketGone, Status: http.StatusBadGateway, Detail: detail,
		Run: refusal.RunUnknown, Submission: submission}
}

func claimUnavailable(err error, run refusal.Run) *Refusal {
	f := &Refusal{Reason: refusal.ReasonClaimStore, Status: http.StatusServiceUnavailable,
		Detail: "the claim could not be made: " + err.Error(), Run: run, RetryAfter: defaultRetryAfter}
	if run == refusal.RunUnknown {
		f.Submission = refusal.RunNo
	}
	return f
}

func tooManyTickets(wait time.Duration) *Refusal {
	return &Refusal{Reason: refusal.ReasonQueueFull, Status: http.StatusTooManyRequests,
		Detail: "the caller takes more tickets than its share", Run: refusal.RunNo, RetryAfter: wait}
}

func ticketBookFull() *Refusal {
	return &Refusal{Reason: refusal.ReasonQueueFull, Status: http.StatusServiceUnavailable,
		Detail: "this agent remembers as many tickets as it may", Run: refusal.RunNo, RetryAfter: defaultRetryAfter}
}
