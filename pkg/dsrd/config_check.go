package dsrd

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Times of a check of the configuration.
const (
	// WatchWait is how long a watch waits at the object API for a change. The end of a wait without a change is a
	// check.
	WatchWait = 600 * time.Millisecond
	// readTimeout bounds a full read of the configuration; one of 300 kB takes 0.25 s on a link of 10 Mbit/s.
	readTimeout = time.Second
	// readInterval is the time between two full reads while objects of other kinds change. A watch that has missed a
	// change ends with an error, which triggers a read; this interval covers changes that a watch omits without an
	// error.
	readInterval = 10 * time.Second
	// changePause is the time between two reads while the configuration keeps changing: of a series of changes only
	// the newest is read, decoded and passed on.
	changePause = 400 * time.Millisecond
)

// cursor is the position of the check loop in the object API's changes.
type cursor struct {
	// revision is the store version up to which all changes of the configuration are known; 0 requires a full read.
	revision uint64
	// readAt is when the configuration was last read in full, readRevision the store version then.
	readAt       time.Time
	readRevision uint64
}

// due reports whether the configuration is to be compared with the object API.
func (k *configSync) due(now time.Time) bool {
	s := k.situation()
	k.mu.Lock()
	defer k.mu.Unlock()
	return !now.Before(k.pauseUntil) && s.due(now)
}

// mayStillBeTold reports whether a balancer that has just started may leave the first read of the object API to others.
func (k *configSync) mayStillBeTold(now time.Time) bool { return k.situation().mayStillBeTold(now) }

// situation returns what the decision about a check depends on.
func (k *configSync) situation() checkSituation {
	s := checkSituation{before: k.before(), propagation: k.propagation(), alone: k.isAlone(), readsFirst: k.firstRead.isFirst()}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.watching = k.watching
	s.starting = k.inForce.Version == 0
	s.started, s.checked, s.adopted = k.started, k.checked, k.adopted
	if k.newerVersion > k.inForce.Version {
		s.newerSince = k.newerSince
	}
	return s
}

// check queries the object API whether the configuration in force is the newest, and adopts a newer one. It returns
// at once when there is a change, and after WatchWait when there is none.
func (k *configSync) check(ctx context.Context) {
	began := time.Now()
	version, _, _ := k.state(began)
	watching := k.watches()
	var err error
	if k.mustRead(began) {
		err = k.read(ctx, began)
	} else {
		err = k.watch(ctx)
	}
	k.recordCheck(began, err)
	k.setWatching(err == nil && (watching || !k.isFirstRead(version)), began)
	if err == nil {
		k.onChecked()
	}
}

// isFirstRead reports whether a check, before which the given version was in force, was the first to find a configuration. It
// does not make this balancer check for others: many make such a read when all restart.
func (k *configSync) isFirstRead(before uint64) bool {
	version, _, _ := k.state(time.Time{})
	return before == 0 && version > 0
}

// setWatching sets whether this balancer checks for others, after a check that began at the given time.
func (k *configSync) setWatching(on bool, began time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watching = on && !k.yielded.After(began)
}

// yield ends the checks for others, since one that comes before this balancer checks. A check that is under way does not
// start them again.
func (k *configSync) yield(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watching, k.yielded = false, now
}

// watches reports whether this balancer checks for others.
func (k *configSync) watches() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watching
}

// mustRead reports whether a full read is needed: at the start, after a change or a failure, when another process
// reports a newer version, and every readInterval while anything changes in the object API.
func (k *configSync) mustRead(now time.Time) bool {
	if _, behind := k.behind(); behind || k.cursor.revision == 0 {
		return true
	}
	return k.cursor.revision != k.cursor.readRevision && now.Sub(k.cursor.readAt) >= readInterval
}

// read reads the full configuration.
func (k *configSync) read(ctx context.Context, began time.Time) error {
	k.cursor = cursor{}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, revision, err := k.platform.Store.List(ctx, k.platform.ConfigurationKind)
	if err != nil {
		return err
	}
	changed, err := k.adoptListed(objects, began)
	if err != nil {
		return err
	}
	if changed {
		// While changes continue, the next read finds the newest of them.
		k.pause(began.Add(changePause))
		return nil
	}
	k.cursor = cursor{revision: revision, readRevision: revision, readAt: began}
	return nil
}

// adoptListed adopts the configuration among listed objects when it is newer than the one in force.
func (k *configSync) adoptListed(objects []objectapi.Object, began time.Time) (changed bool, err error) {
	i := slices.IndexFunc(objects, func(o objectapi.Object) bool { return o.Name == k.platform.ConfigurationName })
	if i >= 0 {
		return k.adoptObject(objects[i], began)
	}
	if version, _, _ := k.state(began); version > 0 {
		return false, errNoConfiguration
	}
	// Before the operator has written a configuration, others need not look for one either.
	k.confirm(0, began)
	return false, nil
}

// errNoConfiguration is the error of a check that does not find the configuration although one is in force.
var errNoConfiguration = errors.New("the object API holds no configuration")

// watch waits for a change of the configuration.
func (k *configSync) watch(ctx context.Context) error {
	from := k.cursor
	k.cursor = cursor{}
	events, next, err := k.platform.Store.Watch(ctx, k.platform.ConfigurationKind, from.revision)
	answered := time.Now()
	if errors.Is(err, objectapi.ErrExpired) {
		// The history has expired: only a full read shows what has changed.
		return nil
	}
	if err != nil {
		return err
	}
	changes, err := k.adoptEvents(events, answered)
	if err != nil {
		return err
	}
	if changes > 0 {
		k.pause(answered.Add(changePause))
	}
	// A watch returns every change of a series, a read only the newest.
	if changes > 1 {
		return nil
	}
	from.revision = max(from.revision, next)
	k.cursor = from
	version, _, _ := k.state(answered)
	k.confirm(version, answered)
	return nil
}

// adoptEvents adopts the changes of the configuration among events, and returns their number.
func (k *configSync) adoptEvents(events []objectapi.Event, answered time.Time) (changes int, err error) {
	for _, e := range events {
		if e.Type != objectapi.EventPut || e.Object.Name != k.platform.ConfigurationName {
			continue
		}
		if _, err := k.adoptObject(e.Object, answered); err != nil {
			return changes, err
		}
		changes++
	}
	return changes, nil
}

func (k *configSync) pause(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pauseUntil = until
}

// recordCheck records the result of a check and logs when checks start to fail or to succeed.
func (k *configSync) recordCheck(began time.Time, err error) {
	minPause := fleetPause(k.before(), k.living())
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		if k.failures > 0 {
			k.log.Warn().Str("op", "check-configuration").Uint64("configuration", configuration.DisplayVersion(k.inForce.Version)).
				Dur("took_ms", time.Since(began)).Msg("checking the configuration works again")
		}
		k.failures = 0
		return
	}
	if k.failures == 0 {
		k.log.Warn().Err(err).Str("op", "check-configuration").Uint64("configuration", configuration.DisplayVersion(k.inForce.Version)).
			Dur("age_ms", time.Since(k.checked)).Msg("the configuration cannot be checked; the last one stays in force")
	}
	k.pauseUntil = time.Now().Add(max(pauseAfter(k.failures), minPause))
	k.failures++
}
