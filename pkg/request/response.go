package request

import (
	"io"
	"net/http"
	"slices"
)

// closeDelimited reports whether the end of the answer is told only by the end of its connection, so that a cut answer
// looks like a whole one.
func closeDelimited(res *http.Response) bool {
	if res.ContentLength >= 0 || res.ProtoMajor != 1 || res.Request.Method == http.MethodHead {
		return false
	}
	return !slices.Contains(res.TransferEncoding, "chunked")
}

// copyHeader writes the answer's headers and status.
func copyHeader(w http.ResponseWriter, res *http.Response) {
	removeConnectionHeaders(res.Header)
	h := w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	for name := range res.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(res.StatusCode)
}

// copyBody streams the answer's body and trailers and flushes each part. After a failed write it goes on reading while
// keep still wants the answer. The errors say which side ended early.
func copyBody(w http.ResponseWriter, res *http.Response, cache io.Writer) (fromTarget, toCaller error) {
	declared := len(res.Trailer)
	out := &flushWriter{w: w, c: http.NewResponseController(w)}
	if res.ContentLength != 0 {
		toCaller = out.c.Flush()
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 && toCaller == nil {
			toCaller = out.write(buf[:n])
		}
		_, _ = cache.Write(buf[:n])
		if err == io.EOF {
			copyTrailers(w, res, declared)
			return nil, toCaller
		}
		if err != nil {
			return err, toCaller
		}
		if toCaller != nil && !wantsMore(cache) {
			return nil, toCaller
		}
	}
}

// wantsMore reports whether keep takes more of the answer.
func wantsMore(cache io.Writer) bool {
	k, ok := cache.(*cachedResponse)
	return ok && !k.overflowed
}

// flushWriter writes and flushes parts of an answer.
type flushWriter struct {
	w http.ResponseWriter
	c *http.ResponseController
}

func (p *flushWriter) write(b []byte) error {
	if _, err := p.w.Write(b); err != nil {
		return err
	}
	return p.c.Flush()
}

// copyTrailers sets the trailers; those that were not announced need the prefix of net/http.
func copyTrailers(w http.ResponseWriter, res *http.Response, declared int) {
	prefix := ""
	if len(res.Trailer) != declared {
		prefix = http.TrailerPrefix
	}
	for name, values := range res.Trailer {
		w.Header()[prefix+name] = values
	}
}
