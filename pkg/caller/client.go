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

// Client submits requests to one service. It may be used concurrently.
type Client struct {
	o      Options
	wallet wallet
	mu     sync.Mutex
}

// New returns a Client.
func New(o Options) *Client { return &Client{o: o.withDefaults()} }

// Do carries a request to one of the three outcomes. The deadline of ctx is the deadline of the request; its
// cancellation cancels the work where the service still can. Do returns no error: every end is an outcome.
func (c *Client) Do(ctx context.Context, r Request) Result {
	f := &fold{c: c, r: r, backoff: firstBackoff}
	for f.result.Submissions < c.o.Submissions {
		if !f.ready(ctx) {
			break
		}
		f.result.Submissions++
		s := c.listen(ctx, r, f.ticket, f.result.Submissions)
		if f.add(s) {
			return f.result
		}
		if f.pause(ctx, s) != nil {
			break
		}
	}
	return f.end()
}

// listen submits and hears the end of the submission, for a while also after the deadline. A cancelled ctx ends it at
// once.
func (c *Client) listen(ctx context.Context, r Request, ticket string, attempt int) submission {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		longer, cancel = context.WithDeadline(longer, deadline.Add(c.o.Grace))
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
	return c.submit(longer, r, ticket, attempt, left)
}

// submit does one HTTP exchange and reads the whole answer.
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

// setHeaders writes the headers of the service.
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

// retryAfter reads the exact time from the problem document, or whole seconds from the header.
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

// ticket returns a ticket from the wallet, or takes new ones.
func (c *Client) ticket(ctx context.Context) (string, error) {
	if t, ok := c.wallet.take(c.o.Now()); ok {
		return t, nil
	}
	list, err := c.takeTickets(ctx)
	if err != nil {
		return "", err
	}
	c.wallet.put(list.Tickets[1:], list.Expires)
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

// spread returns a time between d and 1.5 d, so that callers don't come back together.
func (c *Client) spread(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.o.Rand.Int64N(int64(d)/2+1))
}

// cancel cancels a ticket whose caller has given up, and reports whether the work never runs.
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
