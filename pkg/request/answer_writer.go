package request

import "net/http"

// answerWriter adds "Connection: close" to the answers of a draining server: HTTP/1.1 callers then open a new connection
// for their next request, and net/http sends GOAWAY to HTTP/2 callers.
type answerWriter struct {
	http.ResponseWriter
	s     *Server
	begun bool
}

// WriteHeader sends the status.
func (w *answerWriter) WriteHeader(status int) {
	final := status >= http.StatusOK
	if final && !w.begun && w.s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = w.begun || final
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *answerWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
