package request

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of callers and targets.
const (
	// HeaderTimeout is the time in milliseconds that a caller gives to a request, and that a target has left.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderTicket carries a ticket to spend.
	HeaderTicket = "Auburnwood-Ticket"
	// HeaderKey carries a caller's own key.
	HeaderKey = "Idempotency-Key"
	// HeaderAttempt counts a caller's submissions of the same key, from 1.
	HeaderAttempt = "Auburnwood-Attempt"
	// HeaderRun is on every refusal: "no" or "unknown".
	HeaderRun = "Auburnwood-Run"
	// HeaderReason is on every refusal.
	HeaderReason = "Auburnwood-Reason"
	// HeaderRecord is on every refusal: the record's ID.
	HeaderRecord = "Auburnwood-Record"
	// HeaderSubmission is "no" on a refusal with run unknown when this one submission was not run.
	HeaderSubmission = "Auburnwood-Submission"
	// HeaderRepeated is "true" on an answer that was kept from the run of the same ticket.
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

// connectionHeaders are those of RFC 9110, section 7.6.1, that belong to one connection.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeConnectionHeaders deletes the headers that belong to one connection.
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
