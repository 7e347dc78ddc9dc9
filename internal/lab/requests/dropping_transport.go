package requests

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

type cutKey struct{}

// cut is the first submission of a request, which the caller drops after a time.
type cut struct {
	after time.Duration
	done  atomic.Bool
}

func withCut(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, cutKey{}, &cut{after: after})
}

// droppingTransport cancels the first submission of requests marked by withCut, like a broken connection.
type droppingTransport struct{ next http.RoundTripper }

func (t *droppingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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

// cutBody calls end, which stops the timer, when the body is closed.
type cutBody struct {
	io.ReadCloser
	end func()
}

func (b *cutBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
