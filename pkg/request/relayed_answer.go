package request

import (
	"io"
	"net/http"
	"strconv"
)

// relayedAnswer is a small answer of a peer that is passed on as it is.
type relayedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readAnswer reads a peer's refusal; one that is cut is passed on without its document, as the headers say all.
func readAnswer(res *http.Response) *relayedAnswer {
	removeConnectionHeaders(res.Header)
	res.Header.Del(headerLoad)
	body, err := io.ReadAll(io.LimitReader(res.Body, peerResponseLimit))
	if err != nil {
		body = nil
	}
	return &relayedAnswer{status: res.StatusCode, header: res.Header, body: body}
}

func (a *relayedAnswer) send(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}
