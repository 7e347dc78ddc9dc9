package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
)

// Client submits requests to one service. It is safe for concurrent use.
type Client struct {
	o           Options
	ticketCache ticketCache
	mu          sync.Mutex
}

func New(o Options) *Client { return &Client{o: o.withDefaults()} }

// Do submits a request until it has one of the three outcomes. The deadline of ctx is the deadline of the request;
// cancelling ctx cancels the work where the service still can. Do returns no error: every failure is part of the
// outcome.
func (c *Client) Do(ctx context.Context, r Request) Result {
	f := &requestState{c: c, r: r, backoff: firstBackoff}
	for f.result.Submissions < c.o.Submissions {
		if !f.ensureTicket(ctx) {
			break
		}
		f.result.Submissions++
		s := c.submitWithGrace(ctx, r, f.ticket, f.result.Submissions)
		if f.recordSubmission(s) {
			return f.result
		}
		if f.waitToRetry(ctx, s) != nil {
			break
		}
	}
	return f.finish()
}

// submitWithGrace submits the request and waits for the response until Options.Grace after the deadline. Cancelling ctx
// ends it at once.
func (c *Client) submitWithGrace(ctx context.Context, r Request, ticket string, attempt int) submission {
	graceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		graceCtx, cancel = context.WithDeadline(graceCtx, deadline.Add(c.o.Grace))
		defer cancel()
	}
	stop := context.AfterFunc(ctx, func() {
		if ctx.Err() == context.Canceled {
			cancel()
		}
	})
	defer stop()
	left := noTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = max(deadline.Sub(c.o.Now()), 0)
	}
	return c.submit(graceCtx, r, ticket, attempt, left)
}

// submit does one HTTP exchange and reads the complete response.
func (c *Client) submit(ctx context.Context, r Request, ticket string, attempt int, left time.Duration) submission {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.o.Base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return submission{err: err}
	}
	setHeaders(req, r, ticket, attempt, left)
	var wrote atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	}))
	res, err := c.o.Transport.RoundTrip(req)
	if err != nil {
		return submission{err: err, sent: wrote.Load()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return submission{err: err, sent: true}
	}
	return readSubmission(res, body)
}

// setHeaders sets the caller's headers and those of the service.
func setHeaders(req *http.Request, r Request, ticket string, attempt int, left time.Duration) {
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if len(r.Body) == 0 {
		req.Body = nil
	}
	if left != noTimeout {
		req.Header.Set(request.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	switch r.Protection {
	case ProtectionTicket:
		req.Header.Set(request.HeaderTicket, ticket)
	case ProtectionKey:
		req.Header.Set(request.HeaderKey, r.Key)
		req.Header.Set(request.HeaderAttempt, strconv.Itoa(attempt))
	}
	request.DisableTransportRetry(req)
}

func readSubmission(res *http.Response, body []byte) submission {
	s := submission{
		sent:       true,
		status:     res.StatusCode,
		header:     res.Header,
		body:       body,
		run:        refusal.Run(res.Header.Get(request.HeaderRun)),
		submission: refusal.Run(res.Header.Get(request.HeaderSubmission)),
		reason:     refusal.Reason(res.Header.Get(request.HeaderReason)),
	}
	if s.run != "" {
		s.retryAfter = retryAfter(res, body)
	}
	return s
}

// retryAfter returns the exact time from the problem document, or else whole seconds from the Retry-After header.
func retryAfter(res *http.Response, body []byte) time.Duration {
	var p request.Problem
	if json.Unmarshal(body, &p) == nil && p.RetryAfterMS > 0 {
		return time.Duration(p.RetryAfterMS) * time.Millisecond
	}
	seconds, err := strconv.ParseUint(res.Header.Get("Retry-After"), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ticket returns a cached ticket, or requests new ones.
func (c *Client) ticket(ctx context.Context) (string, error) {
	if t, ok := c.ticketCache.take(c.o.Now()); ok {
		return t, nil
	}
	list, err := c.takeTickets(ctx)
	if err != nil {
		return "", err
	}
	c.ticketCache.put(list.Tickets[1:], list.Expires)
	return list.Tickets[0], nil
}

func (c *Client) takeTickets(ctx context.Context) (request.TicketList, error) {
	var list request.TicketList
	url := c.o.Base + "/.well-known/auburnwood/tickets?n=" + strconv.Itoa(c.o.TicketBatch)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return list, trace.Wrap(err, "take tickets")
	}
	res, err := c.o.Transport.RoundTrip(req)
	if err != nil {
		return list, trace.Wrap(err, "take tickets of %s", c.o.Base)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return list, trace.LimitExceeded("take tickets of %s: status %d", c.o.Base, res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
		return list, trace.Wrap(err, "take tickets of %s", c.o.Base)
	}
	if len(list.Tickets) == 0 {
		return list, trace.LimitExceeded("take tickets of %s: none", c.o.Base)
	}
	return list, nil
}

// jitter returns a random duration between d and 1.5 d, so that callers don't retry at the same time.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.o.Rand.Int64N(int64(d)/2+1))
}

// cancel cancels a ticket whose request is abandoned, and reports whether the work never runs.
func (c *Client) cancel(ticket string) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	url := c.o.Base + "/.well-known/auburnwood/tickets/" + ticket
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return false
	}
	res, err := c.o.Transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var status request.TicketStatus
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&status) != nil {
		return false
	}
	return status.Run == refusal.RunNo
}

const (
	cancelTimeout = time.Second
	// noTimeout leaves the deadline to the service.
	noTimeout time.Duration = -1
)
