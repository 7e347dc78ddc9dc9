package objectapi

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

var (
	// errRestored is the cause of a failed call that met a later era than the version in it.
	errRestored = errors.New("the object API came back from an older copy")
	// errEarlierEra is the cause of an answer that is left out.
	errEarlierEra = errors.New("the answer is from an earlier era of the object API")
)

// RestoreGracePeriod is how long what operators wrote may take to be written again after the object API came back from an older copy. What is in force
// stays until then.
const RestoreGracePeriod = 2 * time.Second

// Eras is the newest era of the object API that a process has seen named. It is safe for concurrent use.
type Eras struct {
	mu      sync.Mutex
	newest  uint64
	changed chan struct{}
}

// NewEras returns the eras of a process that has seen none.
func NewEras() *Eras { return &Eras{changed: make(chan struct{})} }

// Newest returns the newest era; 0 before one is known, or when the API names none.
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

// Observe notes an era. It reports whether no newer one is known.
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

// FromResponse returns the era that an answer's header names. An answer without the header is taken for one of the newest era. It returns an error
// when the header cannot be read, or names an earlier era than one seen before.
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

// checkRequest returns the error of a call that must not be sent, since its condition or position is a version of an earlier era: ErrExpired for
// a watch, ErrConflict for a write. Their revisions may stand for other changes by now. Other calls have no version.
func (e *Eras) checkRequest(op Op, version uint64) error {
	if !op.hasVersion() || EraOf(version) >= e.Newest() {
		return nil
	}
	if op.Writes() {
		return errors.Join(ErrConflict, errRestored)
	}
	return errors.Join(ErrExpired, errRestored)
}

// checkResponse returns the error of a call that was answered in another era than that of its version. A write may have replaced an object that
// the caller has never seen.
func checkResponse(op Op, version, era uint64) error {
	if !op.hasVersion() || EraOf(version) == era {
		return nil
	}
	if op.Writes() {
		return errors.Join(ErrOutcomeUnknown, errRestored)
	}
	return errors.Join(ErrExpired, errRestored)
}

// hasVersion reports whether the operation goes by a version that was read or written before.
func (o Op) hasVersion() bool { return o == OpUpdate || o == OpDelete || o == OpWatch }
