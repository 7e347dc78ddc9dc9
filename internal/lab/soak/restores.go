package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsrd"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Times of the restores of the object API.
const (
	// minRestoreGap and maxRestoreGap are the times between two restores, maxCopyAge how old a copy is.
	minRestoreGap = time.Second
	maxRestoreGap = 6 * time.Second
	maxCopyAge    = 5 * time.Second
	// maxAway is how long the API is away before it comes back, maxRewrite how long the operator's configuration then takes to be written again.
	maxAway    = 1500 * time.Millisecond
	maxRewrite = time.Second
	// lostWrites is the number of writes by others that are lost with one of manyEvery restores: it takes long until revisions have caught up.
	lostWrites = 400
	manyEvery  = 4
	otherKind  = objectapi.Kind("others")
)

// restore lets the object API come back from older copies until ctx ends. What the daemons wrote since is lost; the operator's configuration is
// written again at once or a little later.
func (w *world) restore(ctx context.Context, random *rand.Rand, script func(text string)) {
	for n := 0; ctx.Err() == nil; n++ {
		older := w.store.Snapshot()
		if n%manyEvery == 0 {
			w.writeOthers(ctx)
		}
		age, away, rewrite := between(random, 0, maxCopyAge), between(random, 0, maxAway), between(random, 0, maxRewrite)
		atOnce := random.IntN(2) == 0
		_ = wait.For(ctx, minRestoreGap+age)
		w.store.SetFaults(store.Faults{Outage: true})
		_ = wait.For(ctx, away)
		if atOnce {
			script("restore")
			w.comeBack(older, platformtest.ConfigurationKind)
		} else {
			script("restore without the configuration")
			w.comeBack(older)
			_ = wait.For(ctx, rewrite)
			w.configureAgain()
		}
		_ = wait.For(ctx, between(random, 0, maxRestoreGap-minRestoreGap))
	}
}

// writeOthers writes what will be lost.
func (w *world) writeOthers(ctx context.Context) {
	for n := range lostWrites {
		if _, err := w.store.Create(ctx, otherKind, strconv.Itoa(n), nil); err != nil && ctx.Err() == nil {
			w.counts.violation("the stand-in for the object API failed: %v", err)
			return
		}
	}
}

// comeBack ends an outage with an older copy.
func (w *world) comeBack(older store.Snapshot, rewritten ...objectapi.Kind) {
	w.operating.Lock()
	defer w.operating.Unlock()
	w.store.Restore(older, rewritten...)
	w.store.SetFaults(store.Faults{})
}

// configureAgain writes the configuration that was accepted last again. The context is none of the run's: it must be stored at its end.
func (w *world) configureAgain() {
	w.operating.Lock()
	defer w.operating.Unlock()
	if err := w.put(context.Background(), w.document); err != nil {
		w.counts.violation("writing the configuration again: %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptedAt = time.Now()
}

// checkMembers notes the balancers that the object API does not know.
func (w *world) checkMembers(ctx context.Context) {
	list, _, err := w.store.List(ctx, dsrd.MemberKind)
	if err != nil {
		w.counts.violation("the stand-in for the object API failed: %v", err)
		return
	}
	for _, b := range w.balancers {
		if !slices.ContainsFunc(list, func(o objectapi.Object) bool { return o.Name == b.name }) {
			w.counts.violation("%s is not in the object API at the end", b.name)
		}
	}
}
