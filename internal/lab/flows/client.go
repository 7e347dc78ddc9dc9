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
	// idleTimeout is the time without progress after which a caller abandons a flow.
	idleTimeout = 20 * time.Second
)

var (
	errCrossed = errors.New("response is from another service")
	errMixed   = errors.New("response has wrong content")
)

// client runs one flow with net/http.
type client struct {
	plan   *plan
	caller *fabric.Caller
	// measureStalls is set while stalls are recorded.
	measureStalls *atomic.Bool
	// proxied is set if the target must see the caller's address.
	proxied bool
	out     outcome
	last    time.Time
	idle    *time.Timer
	cancel  context.CancelCauseFunc
}

func (c *client) run(ctx context.Context) outcome {
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	c.out = outcome{plan: c.plan, started: time.Now()}
	c.last = c.out.started
	c.idle = time.AfterFunc(idleTimeout, func() { c.cancel(errors.New("no progress within the idle timeout")) })
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

// do sends a request on a new connection and checks which service answers and which caller address the target saw.
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
		return nil, trace.CompareFailed("target saw caller address %s", seen)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, trace.Errorf("unexpected HTTP status %s", resp.Status)
	}
	return resp, nil
}

// progress records n more bytes; pace is the expected time since the previous ones.
func (c *client) progress(n int, pace time.Duration) {
	now := time.Now()
	if gap := now.Sub(c.last) - pace; gap > c.out.stall && c.measureStalls.Load() {
		c.out.stall = gap
	}
	c.last = now
	c.out.bytes += int64(n)
	c.idle.Reset(idleTimeout)
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

// pace returns the interval between chunks, or 0 for a short flow.
func (c *client) pace() time.Duration {
	if c.plan.kind.isLong() {
		return c.plan.every
	}
	return 0
}

// check reads the body and compares it with the expected content.
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
			return trace.Wrap(err, "read response after %d bytes", checker.Size())
		}
	}
	if checker.Size() != size {
		return trace.Errorf("response truncated: got %d of %d bytes", checker.Size(), size)
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
		return trace.Wrap(err, "decode upload response")
	}
	c.progress(int(got.Size), 0)
	if !got.Intact || got.Size != c.plan.size {
		return errMixed
	}
	return nil
}
