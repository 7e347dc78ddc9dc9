package request

import (
	"io"
	"net/http"
	"strconv"
)

// relayedResponse is a small response of a peer that is forwarded unchanged.
type relayedResponse struct {
	status int
	header http.Header
	body   []byte
}

// readRelayed reads a peer's refusal. If the body is truncated, the refusal is forwarded without it, because the
// headers carry the decision.
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
