package flows

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/target"
)

const (
	chunkSize = 512
	// idleLimit is the time without progress after which a caller gives a flow up.
	idleLimit = 20 * time.Second
)

var (
	errCrossed = errors.New("another service answered")
	errMixed   = errors.New("wrong bytes")
)

// client runs one flow with net/http.
type client struct {
	plan   *plan
	caller *fabric.Caller
	// watched is true while stalls count.
	watched *atomic.Bool
	// proxied is true when the target should see the caller's address.
	proxied bool
	out     outcome
	last    time.Time
	idle    *time.Timer
	cancel  context.CancelCauseFunc
}

// run runs the flow to its end.
func (c *client) run(ctx context.Context) outcome {
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	c.out = outcome{plan: c.plan, started: time.Now()}
	c.last = c.out.started
	c.idle = time.AfterFunc(idleLimit, func() { c.cancel(errors.New("no progress")) })
	defer c.idle.Stop()
	err := c.exchange(ctx)
	if err != nil && ctx.Err() != nil {
		err = trace.Wrap(context.Cause(ctx))
	}
	c.out.ended = time.Now()
	c.out.err = err
	c.out.verdict = verdictOf(err)
	return c.out
}

func verdictOf(err error) verdict {
	switch {
	case err == nil:
		return verdictIntact
	case errors.Is(err, errCrossed):
		return verdictCrossed
	case errors.Is(err, errMixed):
		return verdictMixed
	}
	return verdictBroken
}

func (c *client) exchange(ctx context.Context) error {
	switch c.plan.kind {
	case kindUpload:
		return c.upload(ctx)
	case kindEcho:
		return c.echo(ctx)
	case kindDatagrams:
		return c.datagrams(ctx)
	}
	return c.download(ctx)
}

// do sends a request on a connection of its own and checks who answers.
func (c *client) do(ctx context.Context, method, path string, query url.Values, body io.Reader) (*http.Response, error) {
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := c.caller.Dial(ctx, network, c.plan.local, c.plan.remote)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			return &linkedConn{Conn: conn, body: body}, nil
		},
	}
	query.Set("flow", c.plan.name)
	u := fmt.Sprintf("http://%s%s?%s", c.plan.remote, path, query.Encode())
	req, err := http.NewRequestWithContext(ctx, method, u, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, trace.Wrap(err, "open")
	}
	c.out.opened = time.Since(c.out.started)
	c.progress(0, c.out.opened)
	c.out.target = resp.Header.Get(target.HeaderTarget)
	if resp.Header.Get(target.HeaderService) != c.plan.service {
		_ = resp.Body.Close()
		return nil, errCrossed
	}
	if seen := resp.Header.Get(target.HeaderCaller); c.proxied && seen != c.plan.local.String() {
		_ = resp.Body.Close()
		return nil, trace.CompareFailed("the target saw caller %s", seen)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, trace.Errorf("status %s", resp.Status)
	}
	return resp, nil
}

// progress notes n more bytes; pace is how long they were due to take.
func (c *client) progress(n int, pace time.Duration) {
	now := time.Now()
	if gap := now.Sub(c.last) - pace; gap > c.out.stall && c.watched.Load() {
		c.out.stall = gap
	}
	c.last = now
	c.out.bytes += int64(n)
	c.idle.Reset(idleLimit)
}

func (c *client) download(ctx context.Context) error {
	size := c.plan.size
	query := url.Values{}
	if c.plan.kind == kindPacedDownload {
		size = chunkSize * max(1, int64(c.plan.hold/c.plan.every))
		query.Set("chunk", strconv.Itoa(chunkSize))
		query.Set("every", c.plan.every.String())
	}
	query.Set("size", strconv.FormatInt(size, 10))
	resp, err := c.do(ctx, http.MethodGet, target.PathDownload, query, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	return c.check(resp.Body, size)
}

// pace is the time between two chunks of the flow; short flows have none.
func (c *client) pace() time.Duration {
	if c.plan.kind.long() {
		return c.plan.every
	}
	return 0
}

// check reads and compares the content.
func (c *client) check(body io.Reader, size int64) error {
	checker := target.NewChecker(c.plan.service, c.plan.name)
	b := make([]byte, 4<<10)
	for {
		n, err := body.Read(b)
		if _, wrong := checker.Write(b[:n]); wrong != nil {
			return errMixed
		}
		if n > 0 {
			c.progress(n, c.pace())
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return trace.Wrap(err, "after %d bytes", checker.Size())
		}
	}
	if checker.Size() != size {
		return trace.Errorf("%d of %d bytes", checker.Size(), size)
	}
	return nil
}

func (c *client) upload(ctx context.Context) error {
	body := io.LimitReader(target.Content(c.plan.service, c.plan.name), c.plan.size)
	resp, err := c.do(ctx, http.MethodPost, target.PathUpload, url.Values{}, body)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	var got target.Upload
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return trace.Wrap(err, "answer to upload")
	}
	c.progress(int(got.Size), 0)
	if !got.Intact || got.Size != c.plan.size {
		return errMixed
	}
	return nil
}
