package request

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// attempt is one try to send a request. It records whether any byte of the request may have been sent.
type attempt struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	wrote         bool
}

// withTrace returns a context that records which connection the request uses.
func (a *attempt) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*countingConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wrote = a.sentLocked() || !ok
	if ok {
		a.conn = c
		a.writtenBefore = c.written.Load()
	}
}

func (a *attempt) sentLocked() bool {
	if a.wrote {
		return true
	}
	return a.conn != nil && a.conn.written.Load() != a.writtenBefore
}

// maybeSent returns false only when no byte of the request left this process.
func (a *attempt) maybeSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sentLocked()
}

// send does one round trip. sent is false only when the request can't have reached the other side.
func send(rt http.RoundTripper, req *http.Request) (res *http.Response, sent bool, err error) {
	a := &attempt{}
	res, err = rt.RoundTrip(req.WithContext(a.withTrace(req.Context())))
	if err != nil {
		return nil, a.maybeSent(), err
	}
	return res, true, nil
}
