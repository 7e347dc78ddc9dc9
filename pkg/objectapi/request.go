package objectapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Request is one HTTP call of an object API, of whichever protocol: its key is checked, its errors are typed, and its version and its
// answer belong to an era.
type Request struct {
	Op   Op
	Kind Kind
	// Name is empty for a list and a watch.
	Name   string
	Method string
	URL    string
	Body   []byte
	// Version is the condition of a write or the position of a watch; it holds in its own era only.
	Version uint64
	// Peer is the base URL of the API, for errors.
	Peer string
}

// Send sends the request and returns the answer's head and its era. A write that got a connection but no answer is ErrOutcomeUnknown, since the API
// may have done it. The caller closes the body, and reads it within the context.
func (r Request) Send(ctx context.Context, client *http.Client, eras *Eras) (*http.Response, uint64, error) {
	if err := r.checkKey(); err != nil {
		return nil, 0, r.NewCallError(ErrInvalid, err)
	}
	if err := eras.checkRequest(r.Op, r.Version); err != nil {
		return nil, 0, r.NewCallError(err, nil)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, 0, r.NewCallError(ErrInvalid, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, r.NewCallError(ErrorWithoutResponse(r.Op, sent.Load()), err)
	}
	era, err := r.responseEra(resp, eras)
	if err != nil {
		_ = resp.Body.Close() // The answer is left out.
		return nil, 0, err
	}
	return resp, era, nil
}

// responseEra returns the era of an answer, or the error of one that is left out.
func (r Request) responseEra(resp *http.Response, eras *Eras) (uint64, error) {
	era, err := eras.FromResponse(resp.Header)
	if err != nil {
		return 0, r.NewCallError(ErrorWithoutResponse(r.Op, true), err)
	}
	if resp.StatusCode/100 != 2 {
		return era, nil
	}
	if err := checkResponse(r.Op, r.Version, era); err != nil {
		return 0, r.NewCallError(err, nil)
	}
	return era, nil
}

// checkKey returns an error when the key cannot be sent.
func (r Request) checkKey() error {
	if r.Op == OpList || r.Op == OpWatch {
		return CheckKind(r.Kind)
	}
	return CheckKey(r.Kind, r.Name)
}

// NewCallError returns the error of this call.
func (r Request) NewCallError(err, cause error) error {
	return NewCallError(r.Op, r.Kind, r.Name, r.Peer, err, cause)
}
