package request

import (
	"net/http"
	"strconv"
)

// maxKeptAnswer is the size up to which the answer of a ticket is kept for repeats.
const maxKeptAnswer = 4 << 10

// keptAnswer is a copy of a small answer.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
	over   bool
	whole  bool
}

// Write appends to the copy until it grows too large. It never fails.
func (a *keptAnswer) Write(p []byte) (int, error) {
	if a.over || len(a.body)+len(p) > maxKeptAnswer {
		a.over = true
		a.body = nil
		return len(p), nil
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

// usable reports whether the copy is the whole answer.
func (a *keptAnswer) usable() bool { return a != nil && a.whole && !a.over }

// send answers a repeat.
func (a *keptAnswer) send(w http.ResponseWriter) {
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
