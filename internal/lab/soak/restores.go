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
	// A copy is restored after minRestoreGap and up to maxCopyAge more; the next one is made up to
	// maxRestoreGap-minRestoreGap after that.
	minRestoreGap = time.Second
	maxRestoreGap = 6 * time.Second
	maxCopyAge    = 5 * time.Second
	// maxOutage is the maximum outage before a restore, maxRewrite the maximum time until the operator's configuration
	// is written again after it.
	maxOutage  = 1500 * time.Millisecond
	maxRewrite = time.Second
	// lostWrites is the number of unrelated writes that every lostWritesEvery-th restore discards, so that revisions
	// take long to catch up.
	lostWrites      = 400
	lostWritesEvery = 4
	lostKind        = objectapi.Kind("others")
)

// restoreAPI restores the object API from older copies until ctx ends. Writes of the daemons since the copy are lost;
// the operator's configuration is written again at once or up to maxRewrite later.
func (w *world) restoreAPI(ctx context.Context, random *rand.Rand, script func(text string)) {
	for n := 0; ctx.Err() == nil; n++ {
		backup := w.store.Snapshot()
		if n%lostWritesEvery == 0 {
			w.writeLostObjects(ctx)
		}
		age, outage, rewrite := between(random, 0, maxCopyAge), between(random, 0, maxOutage), between(random, 0, maxRewrite)
		atOnce := random.IntN(2) == 0
		_ = wait.For(ctx, minRestoreGap+age)
		w.store.SetFaults(store.Faults{Outage: true})
		_ = wait.For(ctx, outage)
		if atOnce {
			script("restore")
			w.restoreCopy(backup, platformtest.ConfigurationKind)
		} else {
			script("restore without the configuration")
			w.restoreCopy(backup)
			_ = wait.For(ctx, rewrite)
			w.rewriteConfiguration()
		}
		_ = wait.For(ctx, between(random, 0, maxRestoreGap-minRestoreGap))
	}
}

// writeLostObjects writes objects that the next restore discards.
func (w *world) writeLostObjects(ctx context.Context) {
	for n := range lostWrites {
		if _, err := w.store.Create(ctx, lostKind, strconv.Itoa(n), nil); err != nil && ctx.Err() == nil {
			w.counts.violation("the stand-in for the object API failed: %v", err)
			return
		}
	}
}

// restoreCopy restores the object API from a backup, except objects of the rewritten kinds, and ends the outage.
func (w *world) restoreCopy(backup store.Snapshot, rewritten ...objectapi.Kind) {
	w.configMu.Lock()
	defer w.configMu.Unlock()
	w.store.Restore(backup, rewritten...)
	w.store.SetFaults(store.Faults{})
}

// rewriteConfiguration writes the last accepted configuration again. It uses a context of its own, since the
// configuration must be stored even if the run is ending.
func (w *world) rewriteConfiguration() {
	w.configMu.Lock()
	defer w.configMu.Unlock()
	if err := w.put(context.Background(), w.document); err != nil {
		w.counts.violation("writing the configuration again: %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptedAt = time.Now()
}

// checkMembers checks that every balancer is among the members in the object API.
func (w *world) checkMembers(ctx context.Context) {
	list, _, err := w.store.List(ctx, dsrd.MemberKind)
	if err != nil {
		w.counts.violation("the stand-in for the object API failed: %v", err)
		return
	}
	for _, b := range w.balancers {
		if !slices.ContainsFunc(list, func(o objectapi.Object) bool { return o.Name == b.name }) {
			w.counts.violation("%s is not in the object API at the end of the run", b.name)
		}
	}
}
