package request

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers exchanged with callers and targets.
const (
	// HeaderTimeout is the time limit of a request in milliseconds: from a caller, the time it allows; to a target, the
	// time that is left.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderTicket carries the ticket to spend.
	HeaderTicket = "Auburnwood-Ticket"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderAttempt is the caller's attempt number for the same key, from 1.
	HeaderAttempt = "Auburnwood-Attempt"
	// HeaderRun is set on every refusal: "no" or "unknown"; "yes" is set when the work ran but its response is no
	// longer cached.
	HeaderRun = "Auburnwood-Run"
	// HeaderReason is the refusal reason, set on every refusal.
	HeaderReason = "Auburnwood-Reason"
	// HeaderRecord is the ID of the refusal record, set on every refusal.
	HeaderRecord = "Auburnwood-Record"
	// HeaderSubmission is "no" on a refusal with run "unknown" when this submission itself was not run.
	HeaderSubmission = "Auburnwood-Submission"
	// HeaderRepeated is "true" on a cached response from an earlier submission of the same ticket.
	HeaderRepeated = "Auburnwood-Repeated"
)

// Headers between agents.
const (
	headerHop         = "Auburnwood-Hop"
	headerKind        = "Auburnwood-Hop-Kind"
	headerService     = "Auburnwood-Service"
	headerCaller      = "Auburnwood-Caller"
	headerDestination = "Auburnwood-Destination"
	headerLoad        = "Auburnwood-Load"
)

const ownPrefix = "Auburnwood-"

// connectionHeaders are the hop-by-hop headers of RFC 9110, section 7.6.1.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeConnectionHeaders deletes hop-by-hop headers, including those listed in Connection.
func removeConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// removeOwnHeaders deletes the headers that only agents may set, except those in keep.
func removeOwnHeaders(h http.Header, keep ...string) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) && !contains(keep, name) {
			delete(h, name)
		}
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
