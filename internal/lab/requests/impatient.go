package requests

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

type cutKey struct{}

// cut is the one submission that a caller drops.
type cut struct {
	after time.Duration
	done  atomic.Bool
}

func withCut(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, cutKey{}, &cut{after: after})
}

// impatient drops the first submission of chosen requests, as a caller does whose connection breaks.
type impatient struct{ next http.RoundTripper }

// RoundTrip sends the request.
func (t *impatient) RoundTrip(r *http.Request) (*http.Response, error) {
	c, ok := r.Context().Value(cutKey{}).(*cut)
	if !ok || r.Header.Get(headerWork) == "" || c.done.Swap(true) {
		return t.next.RoundTrip(r)
	}
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(c.after, cancel)
	res, err := t.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	res.Body = &cutBody{ReadCloser: res.Body, end: func() { timer.Stop(); cancel() }}
	return res, nil
}

// cutBody ends the timer with the body.
type cutBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body.
func (b *cutBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
