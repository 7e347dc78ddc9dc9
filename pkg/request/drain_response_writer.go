package request

import "net/http"

// drainResponseWriter adds "Connection: close" to the responses of a draining server: HTTP/1.1 callers then open a new
// connection for their next request, and net/http sends GOAWAY to HTTP/2 callers.
type drainResponseWriter struct {
	http.ResponseWriter
	s             *Server
	headerWritten bool
}

func (w *drainResponseWriter) WriteHeader(status int) {
	final := status >= http.StatusOK
	if final && !w.headerWritten && w.s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.headerWritten = w.headerWritten || final
	w.ResponseWriter.WriteHeader(status)
}

func (w *drainResponseWriter) Write(b []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap supports http.ResponseController.
func (w *drainResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
