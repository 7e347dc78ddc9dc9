package request

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// idleCloseDelay is how long a connection of a draining server must be idle before it is closed: longer than a caller
// takes to send a request that it has begun, and short compared with the few seconds of a drain.
const idleCloseDelay = time.Second

// drainConnections moves callers off this draining server, until the server closes.
func (s *Server) drainConnections() {
	old := s.http2.Swap(newEndpoint(s.newHTTP2Server(idleCloseDelay)))
	go old.drainConnections(s.serverCtx, idleCloseDelay)
	go s.closeIdleConns(s.serverCtx)
}

// closeIdleConns closes idle HTTP/1.1 connections until ctx ends.
func (s *Server) closeIdleConns(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		for _, c := range s.conns.snapshot() {
			if c.retire(s.o.Now(), idleCloseDelay) {
				go s.sendIdleRefusal(c)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendIdleRefusal closes an idle connection with a 408 response. A request may be in transit from the caller, so the
// response says that it was not run: 408 is the status for closing an idle connection, and callers may repeat the
// request after it (RFC 9110, section 15.5.9).
func (s *Server) sendIdleRefusal(c *flowConn) {
	time.AfterFunc(lingerTimeout, func() { _ = c.Conn.Close() })
	f := idleClosed()
	id := s.recordFlow(c.key, f, s.o.Agent)
	_ = writeProblem(c, f, s.o.Agent, id)
	_ = c.CloseWrite()
}

func idleClosed() *Refusal {
	// A request in transit may be the repeat of a ticket or key whose work has run: only this submission is known
	// not to have run.
	return &Refusal{Reason: refusal.ReasonDraining, Status: http.StatusRequestTimeout, Run: refusal.RunUnknown,
		Submission: refusal.RunNo, RetryAfter: defaultRetryAfter,
		Detail: "the target leaves, and its idle connection was closed; a request that was on its way was not run"}
}

// writeProblem writes the final response on an HTTP/1.1 connection to which net/http writes no more.
func writeProblem(w io.Writer, f *Refusal, by, record string) error {
	res := &http.Response{StatusCode: f.Status, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true}
	body, err := encodeProblem(res.Header, f, by, record)
	if err != nil {
		return err
	}
	res.ContentLength = int64(len(body))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res.Write(w)
}
