package request

import (
	"io"
	"net/http"
	"slices"
)

// closeDelimited reports whether only the end of the connection marks the end of the response, so that a truncated
// response can't be told from a complete one.
func closeDelimited(res *http.Response) bool {
	if res.ContentLength >= 0 || res.ProtoMajor != 1 || res.Request.Method == http.MethodHead {
		return false
	}
	return !slices.Contains(res.TransferEncoding, "chunked")
}

// copyHeader writes the response's headers and status.
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

// copyBody streams the response's body and trailers and flushes after each read. After a failed write to the caller it
// continues to read for as long as cache wants more. The errors tell which side ended early.
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

// wantsMore reports whether cache stores more of the response.
func wantsMore(cache io.Writer) bool {
	k, ok := cache.(*cachedResponse)
	return ok && !k.overflowed
}

// flushWriter writes parts of a response and flushes each.
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

// copyTrailers sets the trailers. Trailers that were not declared before the body need http.TrailerPrefix.
func copyTrailers(w http.ResponseWriter, res *http.Response, declared int) {
	prefix := ""
	if len(res.Trailer) != declared {
		prefix = http.TrailerPrefix
	}
	for name, values := range res.Trailer {
		w.Header()[prefix+name] = values
	}
}
