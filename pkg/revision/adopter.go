package revision

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Source is where a revision was obtained.
type Source string

// Sources of a revision.
const (
	// SourceHead is the head in the store.
	SourceHead Source = "head"
	// SourcePeer is a balancer that has adopted the revision.
	SourcePeer Source = "peer"
)

// Adopter holds the highest accepted revision of one balancer. It adopts only higher revisions, so that no service
// reverts. Callers must offer only revisions that the head names or that a peer has adopted. It is safe for concurrent
// use.
type Adopter struct {
	log zerolog.Logger

	mu       sync.Mutex
	known    bool
	current  resource.Revision
	missing  map[Source]string
	onAdopt  []func(resource.Revision)
	notifyMu sync.Mutex
}

// NewAdopter returns an adopter without a revision.
func NewAdopter(log zerolog.Logger) *Adopter {
	return &Adopter{log: log, missing: make(map[Source]string)}
}

// OnAdopt registers a callback for each adopted revision. Callbacks run in ascending order of revisions, one at a time.
// Register them before the first offer.
func (a *Adopter) OnAdopt(f func(resource.Revision)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onAdopt = append(a.onAdopt, f)
}

// Offer adopts r when it is higher than the current revision, and reports whether it did. Revision 0 represents a head
// that names no revision yet.
func (a *Adopter) Offer(r resource.Revision, from Source) bool {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	list, ok := a.adopt(r)
	if !ok {
		return false
	}
	a.log.Info().Str("op", "adopt").Uint64("revision", r.Number).Str("source", string(from)).
		Int("services", len(r.Services)).Send()
	for _, f := range list {
		f(r)
	}
	return true
}

func (a *Adopter) adopt(r resource.Revision) ([]func(resource.Revision), bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known && r.Number <= a.current.Number {
		return nil, false
	}
	a.known = true
	a.current = r
	return a.onAdopt, true
}

// Current returns the adopted revision, and false when none is known.
func (a *Adopter) Current() (resource.Revision, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current, a.known
}

// Number returns the number of the adopted revision; 0 when none is known.
func (a *Adopter) Number() uint64 {
	r, _ := a.Current()
	return r.Number
}

// Ready returns nil once a revision is known, or an error with the reason why each source gave none.
func (a *Adopter) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		return nil
	}
	return trace.NotFound("no revision known: store: %s; peers: %s", a.missingReason(SourceHead), a.missingReason(SourcePeer))
}

func (a *Adopter) missingReason(s Source) string {
	if w, ok := a.missing[s]; ok {
		return w
	}
	return "not queried yet"
}

// RecordMissing records the reason why a source gave no revision, for Ready.
func (a *Adopter) RecordMissing(s Source, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missing[s] = reason
}
