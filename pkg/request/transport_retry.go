package request

import (
	"io"
	"net/http"
	"strings"
)

// DisableTransportRetry prevents http.Transport from resending a request after a lost connection, which would hide that
// the first attempt may have run. The transport resends requests without a body whose method is idempotent or that have
// an idempotency header. Such headers are renamed to lower case, which is equivalent on the wire but not recognised by
// the transport; requests with such a method get an empty body, which is not sent.
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
