package dsrd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// directoryReadSpread bounds the random time until a balancer that starts reads the agents, so that not all do at once.
	// No search ends before dispatch.SettleTime anyway.
	directoryReadSpread = 400 * time.Millisecond
	// maxSampleAge is how old the answer to a cheap read may be.
	maxSampleAge = 10 * time.Second
)

// directoryReader reads the agents of before the start of this process from the object API, once.
type directoryReader struct {
	store   objectapi.Store
	log     zerolog.Logger
	started time.Time
	// load adds what was read; confirmed is when the list was last known to be complete.
	load func(s directory.Snapshot, confirmed time.Time)
}

// run reads until a read succeeds or the context ends.
func (r *directoryReader) run(ctx context.Context) error {
	if err := wait.For(ctx, rand.N(directoryReadSpread)); err != nil {
		return err
	}
	return untilDone(ctx, r.log, "read-agents", func() error { return r.read(ctx) })
}

// read makes a read at a tenth of the price, whose answer may be old. The stamp shows whether it is: only when a newer answer
// may be fresh is the list read at the full price.
func (r *directoryReader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, err := objectapi.Sample(ctx, r.store, DirectoryKind, "")
	if err != nil {
		return err
	}
	stored := storedDirectoryOf(objects, r.log)
	if r.mayBeFresher(stored) {
		if objects, _, err = r.store.List(ctx, DirectoryKind); err != nil {
			return err
		}
		stored = storedDirectoryOf(objects, r.log)
	}
	r.loadStored(stored)
	return nil
}

// mayBeFresher reports whether the newest list may be complete although the one that was read is not. An answer without a list
// may be from before the first one.
func (r *directoryReader) mayBeFresher(s storedDirectory) bool {
	if s.listVersion == 0 {
		return true
	}
	confirmed := directory.ConfirmedAt(s.list, s.stamp)
	if directory.IsFresh(r.started, time.Now(), confirmed) {
		return false
	}
	return !confirmed.Before(r.started.Add(-directory.MaxStampAge - maxSampleAge))
}

func (r *directoryReader) loadStored(s storedDirectory) {
	if s.listVersion == 0 {
		r.log.Warn().Str("op", "read-agents").Bool("complete", false).Msg("the object API holds no agents of before the start")
		return
	}
	snapshot := directory.NewSnapshot(r.started, time.Now(), s.list, s.stamp)
	confirmed := directory.ConfirmedAt(s.list, s.stamp)
	r.load(snapshot, confirmed)
	r.log.Warn().Str("op", "read-agents").Bool("complete", snapshot.Complete).Int("services", len(snapshot.Agents)).
		Uint64("configuration", configuration.DisplayVersion(snapshot.Configuration)).
		Dur("age_ms", r.started.Sub(confirmed)).Msg("the agents of before the start were read")
}
