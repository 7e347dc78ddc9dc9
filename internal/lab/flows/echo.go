package flows

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/target"
)

// echo is a flow that sends a chunk at each interval and reads it back.
type echo struct {
	c       *client
	content io.Reader
	checker *target.Checker
	chunk   []byte
	request *io.PipeWriter
}

// echo runs an echo flow. The first chunk is sent together with the request headers, which are not sent before it.
func (c *client) echo(ctx context.Context) error {
	r, w := io.Pipe()
	e := &echo{
		c:       c,
		content: target.Content(c.plan.service, c.plan.name),
		checker: target.NewChecker(c.plan.service, c.plan.name),
		chunk:   make([]byte, chunkSize),
		request: w,
	}
	sent := make(chan error, 1)
	go func() { sent <- e.send() }()
	resp, err := c.do(ctx, http.MethodPost, target.PathEcho, url.Values{}, r)
	if err != nil {
		_ = r.CloseWithError(err)
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	defer w.Close()
	if err := <-sent; err != nil {
		return trace.Wrap(err)
	}
	return e.exchange(ctx, resp.Body)
}

func (e *echo) send() error {
	_, _ = e.content.Read(e.chunk)
	_, err := e.request.Write(e.chunk)
	return trace.Wrap(err, "send chunk")
}

func (e *echo) receive(body io.Reader) error {
	if _, err := io.ReadFull(body, e.chunk); err != nil {
		return trace.Wrap(err, "echo after %d bytes", e.checker.Size())
	}
	if _, err := e.checker.Write(e.chunk); err != nil {
		return errMixed
	}
	e.c.progress(chunkSize, 0)
	return nil
}

// exchange reads the first chunk back, then sends and reads one at each interval until the flow's duration is over.
func (e *echo) exchange(ctx context.Context, body io.Reader) error {
	tick := time.NewTicker(e.c.plan.every)
	defer tick.Stop()
	end := e.c.out.started.Add(e.c.plan.hold)
	for {
		if err := e.receive(body); err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case now := <-tick.C:
			if now.After(end) {
				return e.finish(body)
			}
			e.c.last = time.Now()
		}
		if err := e.send(); err != nil {
			return trace.Wrap(err)
		}
	}
}

// finish closes the request body and expects the end of the response.
func (e *echo) finish(body io.Reader) error {
	_ = e.request.Close()
	n, err := io.Copy(io.Discard, body)
	if err != nil {
		return trace.Wrap(err, "end of echo")
	}
	if n > 0 {
		return errMixed
	}
	return nil
}
