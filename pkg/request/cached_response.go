package request

import (
	"net/http"
	"strconv"
)

// maxCachedResponse is the largest body, in bytes, of a ticket's response that is cached for repeats.
const maxCachedResponse = 4 << 10

// cachedResponse is a copy of a small response.
type cachedResponse struct {
	status     int
	header     http.Header
	body       []byte
	overflowed bool
	complete   bool
}

// Write appends to the copy until it grows too large. It never fails.
func (a *cachedResponse) Write(p []byte) (int, error) {
	if a.overflowed || len(a.body)+len(p) > maxCachedResponse {
		a.overflowed = true
		a.body = nil
		return len(p), nil
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

// isComplete reports whether the copy is the complete response.
func (a *cachedResponse) isComplete() bool { return a != nil && a.complete && !a.overflowed }

// send answers a repeat with the cached response.
func (a *cachedResponse) send(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Del("Trailer")
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	h.Set(HeaderRepeated, "true")
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}
