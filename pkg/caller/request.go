package caller

import "net/http"

// Request is one piece of work.
type Request struct {
	// Method and Path are those of HTTP.
	Method string
	Path   string
	// Header may be nil.
	Header http.Header
	// Body is sent with each submission.
	Body []byte
	// Protection is how the work is protected; idempotent methods need none.
	Protection Protection
	// Key is the Idempotency-Key for PromiseKey, at least 16 characters, unique for each piece of work.
	Key string
}

// idempotent reports whether the work may run more than once (RFC 9110, section 9.2.2).
func (r Request) idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return r.Protection == ProtectionNone
	}
	return false
}
