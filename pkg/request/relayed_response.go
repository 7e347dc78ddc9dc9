package request

import (
	"io"
	"net/http"
	"strconv"
)

// relayedResponse is a small answer of a peer that is passed on as it is.
type relayedResponse struct {
	status int
	header http.Header
	body   []byte
}

// readRelayed reads a peer's refusal; one that is cut is passed on without its document, as the headers say all.
func readRelayed(res *http.Response) *relayedResponse {
	removeConnectionHeaders(res.Header)
	res.Header.Del(headerLoad)
	body, err := io.ReadAll(io.LimitReader(res.Body, peerResponseLimit))
	if err != nil {
		body = nil
	}
	return &relayedResponse{status: res.StatusCode, header: res.Header, body: body}
}

func (a *relayedResponse) send(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}
