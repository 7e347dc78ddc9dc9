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
		http.Error(w, "parameter takes is not a duration", http.StatusBadRequest)
		return
	}
	if !t.acquireSlot() {
		t.shed.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	i := t.journal.start(Run{ID: r.URL.Query().Get("id"), Target: t.cfg.ID, Start: time.Now()})
	cancelled := wait.For(r.Context(), t.workDuration(takes)) != nil
	failed := t.drawFailure()
	t.journal.end(i, time.Now(), cancelled, failed)
	if failed {
		http.Error(w, "work failed", http.StatusInternalServerError)
	}
}

func (t *Target) acquireSlot() bool {
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

func (t *Target) releaseSlot() {
	if t.slots != nil {
		<-t.slots
	}
}

// workDuration returns how long work takes; during ColdStart it is multiplied by ColdFactor.
func (t *Target) workDuration(takes time.Duration) time.Duration {
	if time.Since(t.started) < t.cfg.ColdStart {
		return time.Duration(float64(takes) * t.cfg.ColdFactor)
	}
	return takes
}

func (t *Target) drawFailure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.cfg.FailWork
}
