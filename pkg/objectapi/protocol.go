package objectapi

import (
	"errors"
	"net/http"
)

// Paths and parameters of the HTTP protocol: objects are at /v1/{kind}/{name}, kinds at /v1/{kind}.
const (
	pathPrefix   = "/v1/"
	paramWatch   = "watch"
	paramVersion = "version"
)

// maxBodySize bounds a request or a response with one object, in bytes: the value in base64 and the other fields.
const maxBodySize = MaxValueSize*4/3 + 4096

// listResponse is the body of the response to a list.
type listResponse struct {
	Items   []Object `json:"items"`
	Version uint64   `json:"version"`
}

// watchResponse is the body of the response to a watch.
type watchResponse struct {
	Events  []Event `json:"events"`
	Version uint64  `json:"version"`
}

// problem is the body of an error response.
type problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
}

// statusOf maps a typed error to the status code of the protocol.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrConflict):
		return http.StatusConflict
	case errors.Is(err, ErrExpired):
		return http.StatusGone
	case errors.Is(err, ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrOutcomeUnknown):
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// ErrorOfStatus maps the status code of an error response to a typed error. For a write, a code that does not tell
// whether it took effect is ErrOutcomeUnknown.
func ErrorOfStatus(op Op, status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusGone:
		return ErrExpired
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
		return ErrInvalid
	}
	if op.Writes() {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}
