package request

import (
	"io"
	"net/http"
	"strings"
)

// DisableTransportRetry keeps http.Transport from sending a request a second time by itself after a lost connection: it would hide
// that the first one may have run. The transport repeats requests without a body that are idempotent by their method
// or by an idempotency header. On the wire the names of headers have no case, and a body that turns out to be empty is
// not sent.
func DisableTransportRetry(r *http.Request) {
	r.GetBody = nil
	for _, name := range []string{HeaderKey, "X-Idempotency-Key"} {
		values, ok := r.Header[name]
		if !ok {
			continue
		}
		delete(r.Header, name)
		r.Header[strings.ToLower(name)] = values
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		if r.Body == nil || r.Body == http.NoBody {
			r.Body = io.NopCloser(strings.NewReader(""))
		}
	}
}
