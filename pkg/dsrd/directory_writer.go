package dsrd

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

const (
	// directoryListInterval is the least time between two writes of the list, so that agents that start together are
	// written together.
	directoryListInterval = 300 * time.Millisecond
	// directoryStampInterval is the time between two writes of the stamp.
	directoryStampInterval = time.Second
	// directoryReadInterval is the time between two reads by the balancer that writes: the list may have been replaced by
	// somebody else.
	directoryReadInterval = time.Minute
	// directoryStall is the time between two passes from which the process counts as stalled: announcements of new
	// agents may wait in the socket.
	directoryStall = time.Second
)

// directoryWriter keeps the agents in the object API while this balancer watches the configuration for all others. No
// lock is held during a call.
type directoryWriter struct {
	store objectapi.Store
	log   zerolog.Logger
	scope tally.Scope
	// shouldWrite reports whether this balancer writes: only one that knows all agents may.
	shouldWrite func(now time.Time) bool
	// revision is that of the directory; list returns its content with it; load adds what another balancer has written.
	revision func() uint64
	list     func(at time.Time) (directory.List, uint64)
	load     func(directory.Snapshot)

	// stored is what the object API holds, valid while known is set. written is the revision of the agents that were last
	// compared with it, differs whether they differed then.
	stored  storedDirectory
	known   bool
	written uint64
	differs bool
	// listWritten and confirmed are when the list was last written, and last confirmed by it or the stamp; readAt is when the
	// objects were last read.
	listWritten time.Time
	confirmed   time.Time
	readAt      time.Time
	lastPass    time.Time
	pause       callPause
}

func (w *directoryWriter) run(ctx context.Context) error {
	return every(ctx, syncInterval, func(now time.Time) { w.pass(ctx, now) })
}

// pass makes one call at most.
func (w *directoryWriter) pass(ctx context.Context, now time.Time) {
	w.detectStall(now)
	if !w.shouldWrite(now) {
		// Another balancer may write until this one does again.
		w.known = false
		return
	}
	if !w.pause.isOver(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	w.recordResult(w.call(ctx, now))
}

// detectStall waits until the agents that joined during a stall are known, and reads what another balancer may have
// written in the meantime.
func (w *directoryWriter) detectStall(now time.Time) {
	if !w.lastPass.IsZero() && now.Sub(w.lastPass) > directoryStall {
		w.pause.until, w.known = now.Add(dispatch.SettleTime), false
	}
	w.lastPass = now
}

// call makes the call that is due. The time of what is written is that at which it was complete, however late the
// write takes effect.
func (w *directoryWriter) call(ctx context.Context, now time.Time) error {
	if !w.known || now.Sub(w.readAt) >= directoryReadInterval {
		return w.read(ctx, now)
	}
	changed := w.differs || w.revision() != w.written
	switch {
	case changed && now.Sub(w.listWritten) >= directoryListInterval:
		return w.writeList(ctx, now)
	case !changed && now.Sub(w.confirmed) >= directoryStampInterval:
		return w.writeStamp(ctx, now)
	}
	return nil
}

// read reads the objects and adds the agents that another balancer has written. Its own list is not added again, since that
// would keep agents that have expired.
func (w *directoryWriter) read(ctx context.Context, now time.Time) error {
	w.known = false
	objects, _, err := w.store.List(ctx, DirectoryKind)
	if err != nil {
		return err
	}
	before := w.stored.list.Digest
	w.stored, w.known, w.readAt = storedDirectoryOf(objects, w.log), true, now
	if w.stored.list.Digest != before {
		w.load(directory.Snapshot{Agents: w.stored.list.Agents, Routes: w.stored.list.Routes, Configuration: w.stored.list.Configuration})
	}
	list, revision := w.list(now)
	w.written = revision
	w.differs = w.stored.listVersion == 0 || list.Digest != w.stored.list.Digest
	w.listWritten, w.confirmed = time.Time{}, time.Time{}
	return nil
}

func (w *directoryWriter) writeList(ctx context.Context, now time.Time) error {
	list, revision := w.list(now)
	version, err := w.write(ctx, directoryListName, w.stored.listVersion, list.Encode())
	if err != nil {
		return err
	}
	w.stored.list, w.stored.listVersion = list, version
	w.written, w.differs, w.listWritten, w.confirmed = revision, false, now, now
	w.log.Info().Str("op", "write-agents").Uint64("revision", objectapi.RevisionOf(version)).Int("services", len(list.Agents)).
		Uint64("configuration", configuration.DisplayVersion(list.Configuration)).
		Msg("the agents that may hold open flows were written")
	return nil
}

func (w *directoryWriter) writeStamp(ctx context.Context, now time.Time) error {
	stamp := directory.Stamp{At: now, Digest: w.stored.list.Digest}
	version, err := w.write(ctx, directoryStampName, w.stored.stampVersion, stamp.Encode())
	if err != nil {
		return err
	}
	w.stored.stamp, w.stored.stampVersion, w.confirmed = stamp, version, now
	return nil
}

// write creates an object, or replaces the given version of it. After any failure the objects are read again.
func (w *directoryWriter) write(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	w.known = false
	o, err := createOrUpdate(ctx, w.store, objectapi.Object{Kind: DirectoryKind, Name: name, Version: version, Value: value})
	w.scope.Tagged(map[string]string{"object": name, "result": writeResult(err)}).Counter("dsr_directory_writes").Inc(1)
	w.known = err == nil
	return o.Version, err
}

// recordResult records the result of a call and logs when calls start to fail or to succeed.
func (w *directoryWriter) recordResult(err error) {
	switch w.pause.record(time.Now(), err) {
	case failuresBegan:
		w.log.Warn().Err(err).Str("op", "write-agents").Msg("the agents cannot be written; balancers that start now may not know all of them")
	case failuresEnded:
		w.log.Warn().Str("op", "write-agents").Msg("writing the agents works again")
	}
}
