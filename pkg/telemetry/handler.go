package telemetry

import (
	"encoding/json"
	"net/http"
)

// Paths of the handler.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// statusResponse is the JSON document at PathStatus.
type statusResponse struct {
	// Program and Version name the program, Build its content.
	Program string `json:"program"`
	Version string `json:"version"`
	Build   string `json:"build"`
	// Process, Region and DataCentre come from the settings.
	Process    string `json:"process"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// State is the result of the daemon's status function.
	State any `json:"state"`
}

// newHandler serves the metrics as text and the status as JSON.
func newHandler(r *Reporter, status func() statusResponse) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = r.WriteText(w)
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		b, err := json.MarshalIndent(status(), "", "  ")
		if err != nil {
			http.Error(w, "encoding the status: "+err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(append(b, '\n'))
	})
	return mux
}
