package revision

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Source says where a revision was learned.
type Source string

// Sources of a revision.
const (
	// SourceHead is the head in the store.
	SourceHead Source = "head"
	// SourcePeer is a balancer that has adopted the revision.
	SourcePeer Source = "peer"
)

// Adopter holds the highest accepted revision of one balancer. It takes only higher ones, so nothing reverts.
// Callers offer only revisions that the head names or that a peer has adopted. It is safe for concurrent use.
type Adopter struct {
	log zerolog.Logger

	mu       sync.Mutex
	known    bool
	current  resource.Revision
	missing  map[Source]string
	adopted  []func(resource.Revision)
	notifyMu sync.Mutex
}

// NewAdopter returns an adopter without a revision.
func NewAdopter(log zerolog.Logger) *Adopter {
	return &Adopter{log: log, missing: make(map[Source]string)}
}

// OnAdopt registers a function that is called with each adopted revision, in rising order and one at a time.
// Register before the first offer.
func (a *Adopter) OnAdopt(f func(resource.Revision)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adopted = append(a.adopted, f)
}

// Offer adopts r when it is higher than the current revision, and reports whether it did. Revision 0 stands for a head
// that names none yet.
func (a *Adopter) Offer(r resource.Revision, from Source) bool {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	list, ok := a.take(r)
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

func (a *Adopter) take(r resource.Revision) ([]func(resource.Revision), bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known && r.Number <= a.current.Number {
		return nil, false
	}
	a.known = true
	a.current = r
	return a.adopted, true
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

// Ready returns nil once a revision is known, or an error that says why none is.
func (a *Adopter) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		return nil
	}
	return trace.NotFound("no revision known: store: %s; peers: %s", a.why(SourceHead), a.why(SourcePeer))
}

func (a *Adopter) why(s Source) string {
	if w, ok := a.missing[s]; ok {
		return w
	}
	return "not asked yet"
}

// RecordMissing records why a source gave no revision.
func (a *Adopter) RecordMissing(s Source, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missing[s] = reason
}
