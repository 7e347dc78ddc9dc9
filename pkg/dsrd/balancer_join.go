package dsrd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// joinSpread bounds the random time until a balancer registers in the object API, at its start and in a later era, so that
// not all call at once.
const joinSpread = time.Second

// recordSampled applies the answer to the first look of a restart: whether the balancer reads the rest of the object API at
// once.
func (b *Balancer) recordSampled(objects []objectapi.Object) {
	b.configSync.firstRead.decide(isFirstReader(b.self, addressesOf(objects, b.log)))
}

// join registers the balancer in the object API, again in each era: an API that was restored from an older copy may
// have lost the balancer's object.
func (b *Balancer) join(ctx context.Context) error {
	for restarted := !b.cfg.FirstStart; ; restarted = false {
		if err := wait.For(ctx, rand.N(joinSpread)); err != nil {
			return err
		}
		reported := b.reportedEras.Newest()
		era, err := b.register(ctx, restarted)
		if err != nil {
			return err
		}
		if err := b.awaitEra(ctx, era, reported); err != nil {
			return err
		}
	}
}

// register makes sure that the object API has this balancer's object, and returns the era in which it has. A balancer that
// restarts looks for it first, again and again while the object API is down: a try to create it costs ten times as much.
func (b *Balancer) register(ctx context.Context, restarted bool) (uint64, error) {
	var version uint64
	if restarted {
		err := untilDone(ctx, b.log, "join-members", func() (err error) {
			version, err = storedMember(ctx, b.platform.Store, b.cfg.Name, b.self)
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	if version > 0 && objectapi.EraOf(version) == b.eras.Newest() {
		return objectapi.EraOf(version), nil
	}
	return registerMember(ctx, b.platform.Store, b.log, b.cfg.Name, b.self)
}

// awaitEra returns when an era after the given one is known, or when others report one that is later than both that one
// and reported, the last one that they had reported. It returns the context's error when that ends.
func (b *Balancer) awaitEra(ctx context.Context, era, reported uint64) error {
	for {
		newest, known := b.eras.Changed()
		newestReported, reportedChanged := b.reportedEras.Changed()
		if newest > era || newestReported > max(era, reported) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-known:
		case <-reportedChanged:
		}
	}
}
