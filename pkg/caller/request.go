package caller

import "net/http"

// Request is one piece of work.
type Request struct {
	// Method and Path are the HTTP method and path.
	Method string
	Path   string
	// Header may be nil.
	Header http.Header
	// Body is sent with each submission.
	Body []byte
	// Protection is how the work is protected against running twice; idempotent methods need none.
	Protection Protection
	// Key is the Idempotency-Key for ProtectionKey: at least 16 characters, and unique for each piece of work.
	Key string
}

// isIdempotent reports whether the work may run more than once (RFC 9110, section 9.2.2).
func (r Request) isIdempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return r.Protection == ProtectionNone
	}
	return false
}
