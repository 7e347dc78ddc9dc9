package objectapi

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

var (
	// errRestored is the cause of an error when a call's version is of another era than the object API.
	errRestored = errors.New("the object API came back from an older copy")
	// errEarlierEra is the cause of an error when a response is discarded because its era is outdated.
	errEarlierEra = errors.New("the response is from an earlier era of the object API")
)

// RestoreGracePeriod is how long writers may take to rewrite lost objects after the object API was restored from an older
// copy. Until then what is in force is kept.
const RestoreGracePeriod = 2 * time.Second

// Eras tracks the newest era of the object API that a process has seen. It is safe for concurrent use.
type Eras struct {
	mu      sync.Mutex
	newest  uint64
	changed chan struct{}
}

// NewEras returns an Eras that has seen no era.
func NewEras() *Eras { return &Eras{changed: make(chan struct{})} }

// Newest returns the newest era seen; 0 when none was seen or the API has no eras.
func (e *Eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Changed returns the newest era and a channel that is closed when a newer one is seen.
func (e *Eras) Changed() (newest uint64, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.changed
}

// Observe records an era. It reports whether era is the newest one seen.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.newest {
		e.newest = era
		close(e.changed)
		e.changed = make(chan struct{})
	}
	return era == e.newest
}

// FromResponse records and returns the era in a response's header. A response without the header is assumed to be of the
// newest era. It returns an error when the header is malformed or names an earlier era than the newest one.
func (e *Eras) FromResponse(h http.Header) (uint64, error) {
	text := h.Get(EraHeader)
	if text == "" {
		return e.Newest(), nil
	}
	era, err := ParseEra(text)
	if err != nil {
		return 0, err
	}
	if !e.Observe(era) {
		return 0, errEarlierEra
	}
	return era, nil
}

// checkRequest returns an error for a call that must not be sent because its condition or position is a version of an
// earlier era, whose revision may since have been reused: ErrExpired for a watch, ErrConflict for a write. Other calls
// have no version.
func (e *Eras) checkRequest(op Op, version uint64) error {
	if !op.hasVersion() || EraOf(version) >= e.Newest() {
		return nil
	}
	if op.Writes() {
		return errors.Join(ErrConflict, errRestored)
	}
	return errors.Join(ErrExpired, errRestored)
}

// checkResponse returns an error for a call that was answered in another era than that of its version: ErrExpired for a
// watch, and ErrOutcomeUnknown for a write, which may have replaced an object that the caller has never read.
func checkResponse(op Op, version, era uint64) error {
	if !op.hasVersion() || EraOf(version) == era {
		return nil
	}
	if op.Writes() {
		return errors.Join(ErrOutcomeUnknown, errRestored)
	}
	return errors.Join(ErrExpired, errRestored)
}

// hasVersion reports whether the operation carries a version from an earlier read or write.
func (o Op) hasVersion() bool { return o == OpUpdate || o == OpDelete || o == OpWatch }
