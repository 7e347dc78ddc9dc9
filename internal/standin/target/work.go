package target

import (
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// work runs one request if a slot is free.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	takes, err := time.ParseDuration(r.URL.Query().Get("takes"))
	if err != nil {
		http.Error(w, "takes is no duration", http.StatusBadRequest)
		return
	}
	if !t.takeSlot() {
		t.shed.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer t.freeSlot()
	i := t.journal.start(Run{ID: r.URL.Query().Get("id"), Target: t.cfg.ID, Start: time.Now()})
	cancelled := wait.For(r.Context(), t.slowed(takes)) != nil
	failed := t.fails()
	t.journal.end(i, time.Now(), cancelled, failed)
	if failed {
		http.Error(w, "work failed", http.StatusInternalServerError)
	}
}

func (t *Target) takeSlot() bool {
	if t.slots == nil {
		return true
	}
	select {
	case t.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t *Target) freeSlot() {
	if t.slots != nil {
		<-t.slots
	}
}

// slowed returns how long work takes, longer while the target is cold.
func (t *Target) slowed(takes time.Duration) time.Duration {
	if time.Since(t.started) < t.cfg.ColdStart {
		return time.Duration(float64(takes) * t.cfg.ColdFactor)
	}
	return takes
}

func (t *Target) fails() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.cfg.FailWork
}
