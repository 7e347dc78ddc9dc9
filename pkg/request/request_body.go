package request

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBody is the size up to which a body of known length is read before its request waits, so that it can be sent
// again and so that net/http notices a caller that goes away.
const maxBufferedBody = 64 << 10

// requestBody is the body of a caller's request: whole in memory, or a stream that can be read once.
type requestBody struct {
	request     *http.Request
	content     []byte
	buffered    bool
	readStarted atomic.Bool
}

// newRequestBody reads a small body.
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

// isReplayable reports whether the request can be sent once more.
func (b *requestBody) isReplayable() bool { return b.buffered || !b.readStarted.Load() }

// attach gives the body, its length and its trailers to an outgoing request.
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

// Read reads the stream and notes that it is used up by this attempt.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	return b.request.Body.Read(p)
}
