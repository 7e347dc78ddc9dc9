package request

import (
	"io"
	"net/http"
	"slices"
)

// closeDelimited reports whether the end of the answer is told only by the end of its connection, so that a cut answer
// looks like a whole one.
func closeDelimited(res *http.Response) bool {
	if res.ContentLength >= 0 || res.ProtoMajor != 1 {
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

// copyBody streams the answer's body and trailers and flushes each part. An error means that the caller does not have
// the whole answer.
func copyBody(w http.ResponseWriter, res *http.Response, keep io.Writer) error {
	announced := len(res.Trailer)
	c := http.NewResponseController(w)
	if res.ContentLength != 0 {
		if err := c.Flush(); err != nil {
			return err
		}
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			_, _ = keep.Write(buf[:n])
			if werr := writePart(w, c, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	copyTrailers(w, res, announced)
	return nil
}

func writePart(w http.ResponseWriter, c *http.ResponseController, b []byte) error {
	if _, err := w.Write(b); err != nil {
		return err
	}
	return c.Flush()
}

// copyTrailers sets the trailers; those that were not announced need the prefix of net/http.
func copyTrailers(w http.ResponseWriter, res *http.Response, announced int) {
	prefix := ""
	if len(res.Trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range res.Trailer {
		w.Header()[prefix+name] = values
	}
}
