package request

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBody is the largest body, in bytes, that is buffered before its request waits. A buffered body can be sent
// again, and net/http detects a caller that disconnects only after the body was read.
const maxBufferedBody = 64 << 10

// requestBody is the body of a caller's request: buffered in memory, or a stream that can be read once.
type requestBody struct {
	request     *http.Request
	content     []byte
	buffered    bool
	readStarted atomic.Bool
}

// newRequestBody buffers the body if its length is known and at most maxBufferedBody.
func newRequestBody(r *http.Request) (*requestBody, error) {
	b := &requestBody{request: r}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return b, nil
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	b.content = content
	b.buffered = true
	return b, nil
}

// isReplayable reports whether the request can be sent again.
func (b *requestBody) isReplayable() bool { return b.buffered || !b.readStarted.Load() }

// attach sets the body, its length and its trailers on an outgoing request.
func (b *requestBody) attach(out *http.Request) {
	if !b.buffered {
		out.Trailer = b.request.Trailer
		out.ContentLength = b.request.ContentLength
		out.Body = io.NopCloser(b)
		return
	}
	out.Trailer = nil
	out.ContentLength = int64(len(b.content))
	out.Body = nil
	if len(b.content) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(b.content))
	}
}

// Read reads the stream; after the first call the body can't be sent again.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	return b.request.Body.Read(p)
}
