package objectapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Request is one HTTP call to an object API, independent of its protocol. Send validates the key, returns typed errors
// and checks the eras of the version and of the response.
type Request struct {
	Op   Op
	Kind Kind
	// Name is empty for a list, a sample and a watch.
	Name   string
	Method string
	URL    string
	Body   []byte
	// Version is the condition of a write or the position of a watch; it is valid in its own era only.
	Version uint64
	// Peer is the base URL of the API, for errors.
	Peer string
}

// Send sends the request and returns the response and its era. A write that got a connection but no response is
// ErrOutcomeUnknown, since the API may have applied it. The caller must read the body before ctx ends, and close it.
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
		_ = resp.Body.Close() // The response is discarded.
		return nil, 0, err
	}
	return resp, era, nil
}

// responseEra returns the era of a response, or an error when the response has to be discarded.
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

// checkKey returns an error when the kind or name is invalid.
func (r Request) checkKey() error {
	if r.Op == OpList || r.Op == OpSample || r.Op == OpWatch {
		return CheckKind(r.Kind)
	}
	return CheckKey(r.Kind, r.Name)
}

// NewConflictError returns a CallError for this request with the object that the API holds.
func (r Request) NewConflictError(err error, current Object) error {
	return trace.Wrap(&CallError{Op: r.Op, Kind: r.Kind, Name: r.Name, Peer: r.Peer, Err: err, Current: current})
}

// NewCallError returns a CallError for this request with a typed error and its cause.
func (r Request) NewCallError(err, cause error) error {
	return NewCallError(r.Op, r.Kind, r.Name, r.Peer, err, cause)
}
