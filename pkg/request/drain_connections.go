package request

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// idleCloseDelay is how long a connection of a draining server must be idle before it is closed: longer than a caller takes
// to send a request that it had begun, and short in relation to the few seconds in which a target leaves.
const idleCloseDelay = time.Second

// drainConnections moves the callers away from a draining server, until its life ends.
func (s *Server) drainConnections() {
	old := s.http2.Swap(newEndpoint(s.newHTTP2Server(idleCloseDelay)))
	go old.drain(s.ctx, idleCloseDelay)
	go s.closeIdleConns(s.ctx)
}

// closeIdleConns closes the HTTP/1.1 connections that are idle, until ctx ends.
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

// sendIdleRefusal closes an idle connection. The caller may have sent a request that has not arrived yet, so that it is
// told that nothing more was run: 408 is the status of a server that gives an idle connection up, and callers may repeat
// their request after it (RFC 9110, section 15.5.9).
func (s *Server) sendIdleRefusal(c *flowConn) {
	time.AfterFunc(lingerTimeout, func() { _ = c.Conn.Close() })
	f := idleClosed()
	id := s.recordFlow(c.key, f, s.o.Agent)
	_ = writeProblem(c, f, s.o.Agent, id)
	_ = c.CloseWrite()
}

func idleClosed() *Refusal {
	// The request that was on its way may be the repeat of a ticket or key whose work has run: only this submission is
	// known not to have run.
	return &Refusal{Reason: refusal.ReasonDraining, Status: http.StatusRequestTimeout, Run: refusal.RunUnknown,
		Submission: refusal.RunNo, RetryAfter: defaultRetryAfter,
		Detail: "the target leaves, and its idle connection was closed; a request that was on its way was not run"}
}

// writeProblem writes the last answer of an HTTP/1.1 connection to which net/http writes no more.
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
