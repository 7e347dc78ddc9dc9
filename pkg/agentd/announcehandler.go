package agentd

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// Paths of the announcement listener.
const (
	// PathTarget accepts PUT with an Announcement and answers GET with the target's state.
	PathTarget = "/v1/target"
	// PathDrain accepts POST to start the drain of the target.
	PathDrain = "/v1/target/drain"
)

const maxAnnouncementBytes = 16 << 10

// announceHandler serves the announcement listener.
type announceHandler struct {
	mu       sync.Mutex
	current  Announcement
	known    bool
	draining bool
	// announced receives the first announcement; drained is closed when the drain starts.
	announced chan Announcement
	drained   chan struct{}
	state     func() string
}

func newAnnounceHandler(state func() string) *announceHandler {
	return &announceHandler{announced: make(chan Announcement, 1), drained: make(chan struct{}), state: state}
}

func (h *announceHandler) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathTarget, h.put)
	mux.HandleFunc("GET "+PathTarget, h.get)
	mux.HandleFunc("POST "+PathDrain, h.drain)
	return mux
}

func (h *announceHandler) put(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Check(); err != nil {
		http.Error(w, "announcement: "+trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	if err := h.accept(a); err != nil {
		http.Error(w, "announcement: "+trace.UserMessage(err), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// accept stores the first announcement. A repeated one must be equal, since a changed target needs a new incarnation.
func (h *announceHandler) accept(a Announcement) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return trace.CompareFailed("the target has drained; restart the agent to serve again")
	}
	if h.known && h.current != a {
		return trace.CompareFailed("announced before with other values; drain and restart the agent to change them")
	}
	if !h.known {
		h.known, h.current = true, a
		h.announced <- a
	}
	return nil
}

func (h *announceHandler) get(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	body := map[string]any{"announced": h.known, "draining": h.draining, "target": h.current, "state": h.state()}
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (h *announceHandler) drain(w http.ResponseWriter, _ *http.Request) {
	h.startDrain()
	w.WriteHeader(http.StatusAccepted)
}

func (h *announceHandler) startDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return
	}
	h.draining = true
	close(h.drained)
}
