package dsrd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Times of the configuration's checks.
const (
	// WatchWait is how long a watch waits at the object API for a change. The end of a wait without a change is a
	// check.
	WatchWait = 600 * time.Millisecond
	// checkInterval is the time after which another balancer checks when none has confirmed that the configuration in
	// force is the newest: a watch, and a margin for its answer. An accepted configuration must be in force within
	// three seconds.
	checkInterval = 900 * time.Millisecond
	// checkStagger is added for each living balancer that checks before this one, so that one of them checks for all.
	checkStagger = 150 * time.Millisecond
	// maxStagger bounds the sum of the staggers.
	maxStagger = 900 * time.Millisecond
	// propagationTime is how long the result of a check takes to reach all balancers where it is passed on from one
	// to the next.
	propagationTime = 500 * time.Millisecond
	// readTimeout bounds a full read of the configuration; one of 300 kB takes 0.25 s on a link of 10 Mbit/s.
	readTimeout = time.Second
	// readInterval is the time between two full reads while objects of other kinds change. A watch that has missed a
	// change ends with an error, which triggers a read; this interval covers changes that a watch omits without an
	// error.
	readInterval = 10 * time.Second
	// changePause is the time between two reads while the configuration keeps changing: of a series of changes only
	// the newest is read, decoded and passed on.
	changePause = 400 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from another balancer.
	fetchTimeout = 500 * time.Millisecond
	// startWait is how long a balancer that has just started waits for word from those in its settings. If all of them
	// read the object API at once, the calls of a start of all would grow with their number.
	startWait = 300 * time.Millisecond
	// syncInterval is how often it is tested whether a check is due.
	syncInterval = 100 * time.Millisecond
	// failurePause is the pause after a failed check, doubled with each further one up to maxFailurePause, since each
	// call in an outage is charged to the object API's budget.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 800 * time.Millisecond
	// retryRate is the number of checks a second that all balancers together make while checks fail.
	retryRate = 100
	// maxServed is the number of balancers that one serves its configuration at the same time. When all start together,
	// the others are asked again once they have it, so that the bytes of one do not grow with the number of balancers.
	maxServed = 8
	// busyPause is the pause after a peer that serves as many as it may, before the next one is asked.
	busyPause = 50 * time.Millisecond
	// maxFetchSize bounds a configuration fetched from another balancer, in bytes.
	maxFetchSize = 4 << 20
	// configurationPath is where a balancer serves its configuration.
	configurationPath = "/v2/configuration"
)

// configSync keeps the configuration of a balancer up to date. No lock is held during a call.
type configSync struct {
	platform Platform
	log      zerolog.Logger
	client   *http.Client
	wake     chan struct{}
	// serving holds an element for each balancer that is being served.
	serving chan struct{}
	// adopt applies a newer configuration.
	adopt func(configuration.Configuration)
	// onChecked is called after each successful check and after each change, so that the other balancers need not
	// check.
	onChecked func()
	// before is the number of living balancers that check before this one; propagation is how long the result
	// of a check may take to arrive.
	before func() int
	// living is the number of living balancers.
	living      func() int
	propagation func() time.Duration
	// firstRead tells whether this balancer reads the object API at once when it has just started.
	firstRead *firstRead
	started   time.Time

	// adoptMu serialises the adoption of configurations, encodeMu their encoding; both are locked before mu.
	adoptMu  sync.Mutex
	encodeMu sync.Mutex
	// cursor and lastRead are used by the check loop alone.
	cursor   cursor
	lastRead readVersion

	mu sync.Mutex
	// watching is set while this balancer checks for others: from a successful check to a failed one, or until one
	// that comes before it reports that it does.
	watching bool
	// yielded is when such a report last arrived.
	yielded time.Time
	// inForce is the configuration in force, of version 0 when there is none yet, encoded its form for other
	// balancers once one has fetched it; checked is when it was last known to be the newest.
	inForce configuration.Configuration
	encoded []byte
	checked time.Time
	// pauseUntil is the time before which no check is made, failures the number of consecutive failed checks.
	pauseUntil time.Time
	failures   int
	// newerVersion is the highest version that another process has reported, newerSince when the first newer one was;
	// newerSource is the balancer that has it, if known.
	newerVersion uint64
	newerSince   time.Time
	newerSource  netip.AddrPort
	// adopted is when the configuration in force was adopted.
	adopted time.Time
}

// cursor is the position of the check loop in the object API's changes.
type cursor struct {
	// revision is the store version up to which all changes of the configuration are known; 0 requires a full read.
	revision uint64
	// readAt is when the configuration was last read in full, readRevision the store version then.
	readAt       time.Time
	readRevision uint64
}

// readVersion is the configuration's version in an object, cached so that its document is decoded once.
type readVersion struct {
	object, configuration uint64
}

func newConfigSync(p Platform, log zerolog.Logger) *configSync {
	return &configSync{
		platform: p,
		log:      log,
		client:   &http.Client{Timeout: fetchTimeout},
		wake:     make(chan struct{}, 1),
		serving:  make(chan struct{}, maxServed),

		firstRead: newFirstRead(),
		started:   time.Now(),
	}
}

// state returns the version in force, and how long ago it was known to be the newest.
func (k *configSync) state(now time.Time) (version uint64, age time.Duration, checked bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inForce.Version, now.Sub(k.checked), !k.checked.IsZero()
}

// recordNewer records that a newer version exists. NewerSource is the balancer that has it, or the zero value.
func (k *configSync) recordNewer(version uint64, newerSource netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.inForce.Version {
		return
	}
	if k.newerVersion <= k.inForce.Version {
		k.newerSince = time.Now()
	}
	k.newerVersion = max(k.newerVersion, version)
	if newerSource.IsValid() {
		k.newerSource = newerSource
	}
	signal(k.wake)
}

// confirm records that a version was the newest at a time, according to a check or another balancer.
func (k *configSync) confirm(version uint64, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version == k.inForce.Version && at.After(k.checked) {
		k.checked = at
	}
}

// run keeps the configuration up to date until the context ends. Checks and fetches do not wait for each other: a
// balancer that starts while the object API is slow gets the configuration of its peers within milliseconds.
func (k *configSync) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.checkLoop(ctx) })
	g.Go(func() error { return k.fetchLoop(ctx) })
	return g.Wait()
}

// checkLoop compares the configuration with the object API when that is due.
func (k *configSync) checkLoop(ctx context.Context) error {
	k.firstRead.await(ctx)
	return every(ctx, syncInterval, func(now time.Time) {
		if k.due(now) {
			k.check(ctx)
		}
	})
}

// fetchLoop fetches newer configurations from the balancers that have them.
func (k *configSync) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.wake:
		}
		source, behind := k.behind()
		if !behind || !source.IsValid() {
			continue
		}
		err := k.fetch(ctx, source)
		if errors.Is(err, errPeerBusy) {
			time.AfterFunc(busyPause, func() { signal(k.wake) })
			continue
		}
		if err != nil {
			k.log.Warn().Err(err).Str("op", "fetch-configuration").Stringer("peer", source).Msg("fetching the configuration from another balancer failed")
		}
	}
}

// behind reports whether a newer version exists, and the balancer that has it, if known.
func (k *configSync) behind() (netip.AddrPort, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newerSource, k.newerVersion > k.inForce.Version
}

// due reports whether the configuration is to be compared with the object API. The balancer that comes first always
// watches; the others take over when it does not report that it does.
func (k *configSync) due(now time.Time) bool {
	before, propagation := k.before(), k.propagation()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.pauseUntil) {
		return false
	}
	starting := k.inForce.Version == 0
	switch {
	case k.watching:
		return true
	case starting && k.firstRead.isFirst() && k.checked.IsZero():
		return true
	case before == 0 && !(starting && now.Sub(k.started) < startWait):
		return true
	}
	// Fetching a newer version from other balancers takes less time and fewer bytes than reading the object API. When all
	// start together, each may have to ask several times.
	fetchTime := fetchTimeout
	if starting {
		fetchTime += stagger(before)
	}
	if k.newerVersion > k.inForce.Version && now.Sub(k.newerSince) >= fetchTime {
		return true
	}
	last := k.started
	for _, at := range []time.Time{k.checked, k.adopted} {
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last) >= checkInterval+propagation+stagger(before)
}

// stagger is the additional time for which a balancer leaves a check to the given number of others.
func stagger(before int) time.Duration { return min(time.Duration(before)*checkStagger, maxStagger) }

// mayStillBeTold reports whether a balancer that has just started may leave the first read of the object API to others.
func (k *configSync) mayStillBeTold(now time.Time) bool {
	before, propagation := k.before(), k.propagation()
	switch {
	case k.firstRead.isFirst():
		return false
	case before == 0:
		return now.Sub(k.started) < startWait
	}
	return now.Sub(k.started) < checkInterval+propagation+stagger(before)
}

// check queries the object API whether the configuration in force is the newest, and adopts a newer one. It returns
// at once when there is a change, and after WatchWait when there is none.
func (k *configSync) check(ctx context.Context) {
	began := time.Now()
	version, _, _ := k.state(began)
	var err error
	if k.mustRead(began) {
		err = k.read(ctx, began)
	} else {
		err = k.watch(ctx)
	}
	k.recordCheck(began, err)
	k.setWatching(version > 0 && err == nil, began)
	if err == nil {
		k.onChecked()
	}
}

// setWatching sets whether this balancer checks for others, after a check that began at the given time. The first read at
// its start does not count.
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
	next := cursor{revision: revision, readRevision: revision, readAt: began}
	for _, o := range objects {
		if o.Name != k.platform.ConfigurationName {
			continue
		}
		changed, err := k.adoptObject(o, began)
		if err != nil {
			return err
		}
		if !changed {
			k.cursor = next
			return nil
		}
		// While changes continue, the next read finds the newest of them.
		k.pause(began.Add(changePause))
		return nil
	}
	if version, _, _ := k.state(began); version > 0 {
		return errNoConfiguration
	}
	// Before the operator has written a configuration, others need not look for one either.
	k.cursor = next
	k.confirm(0, began)
	return nil
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
	changes := 0
	for _, e := range events {
		if e.Type != objectapi.EventPut || e.Object.Name != k.platform.ConfigurationName {
			continue
		}
		if _, err := k.adoptObject(e.Object, answered); err != nil {
			return err
		}
		changes++
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

func (k *configSync) pause(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pauseUntil = until
}

// recordCheck records the result of a check and logs when checks start to fail or to succeed.
func (k *configSync) recordCheck(began time.Time, err error) {
	fleetPause := k.fleetPause()
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
	k.pauseUntil = time.Now().Add(max(pauseAfter(k.failures), fleetPause))
	k.failures++
}

// fleetPause is the minimum pause after a failed check of a balancer that does not come first. All balancers check while
// nobody succeeds; together they make retryRate calls a second, whatever their number.
func (k *configSync) fleetPause() time.Duration {
	if k.before() == 0 {
		return 0
	}
	return time.Duration(k.living()) * time.Second / retryRate
}

// pauseAfter is the pause after a failed call, given the number of consecutive failures before it.
func pauseAfter(failures int) time.Duration {
	return min(failurePause<<min(failures, 8), maxFailurePause)
}

// adoptObject adopts a stored object when it is newer. At is when it was known to be the newest.
func (k *configSync) adoptObject(o objectapi.Object, at time.Time) (changed bool, err error) {
	stored, known := k.storedVersion(o)
	if !known {
		c, err := k.platform.Decode(o)
		if err != nil {
			return false, trace.Wrap(err, "reading the configuration of version %d", objectapi.RevisionOf(o.Version))
		}
		k.lastRead = readVersion{object: o.Version, configuration: c.Version}
		if k.adoptIfNewer(c, nil, at) {
			return true, nil
		}
		k.logNotNewer(c)
		stored = c.Version
	}
	if configuration.IsNumbered(stored) {
		// The object API was restored from a copy with a lower number: the configuration in force is the newest.
		version, _, _ := k.state(at)
		stored = version
	}
	k.confirm(stored, at)
	return false, nil
}

// storedVersion returns the version of a stored configuration that is not newer than the one in force, as far as that
// is known without decoding it.
func (k *configSync) storedVersion(o objectapi.Object) (version uint64, known bool) {
	if o.Version == k.lastRead.object {
		return k.lastRead.configuration, true
	}
	inForce, _, _ := k.state(time.Time{})
	return o.Version, !configuration.IsNumbered(inForce) && o.Version <= inForce
}

// logNotNewer logs that the object API holds an earlier configuration than the one in force.
func (k *configSync) logNotNewer(stored configuration.Configuration) {
	inForce, _, _ := k.state(time.Time{})
	if stored.Version == inForce {
		return
	}
	k.log.Warn().Str("op", "check-configuration").Uint64("configuration", configuration.DisplayVersion(inForce)).
		Uint64("stored", configuration.DisplayVersion(stored.Version)).Str("label", stored.Label).
		Msg("the object API holds an earlier configuration; the one in force stays")
}

// adoptIfNewer adopts a configuration when it is newer than the one in force, and reports whether it was. At is when
// its version was known to be the newest, which is recorded when that version is in force. Encoded is its form for
// other balancers, if known.
func (k *configSync) adoptIfNewer(c configuration.Configuration, encoded []byte, at time.Time) bool {
	k.adoptMu.Lock()
	defer k.adoptMu.Unlock()
	if configuration.IsNumbered(c.Version) {
		k.useOperatorNumber()
	}
	version, _, _ := k.state(at)
	newer := c.Version > version
	if newer {
		k.setInForce(c, encoded)
	}
	k.confirm(c.Version, at)
	return newer
}

// useOperatorNumber sets the operator's number as the version of the configuration in force, which lacks it when it
// was adopted before the object API first reported an era. k.adoptMu is held.
func (k *configSync) useOperatorNumber() {
	k.mu.Lock()
	c := k.inForce
	k.mu.Unlock()
	numbered := configuration.VersionOf(c.Label, c.Version, true)
	if numbered == c.Version {
		return
	}
	c.Version = numbered
	k.setInForce(c, nil)
}

// setInForce applies a configuration. k.adoptMu is held.
func (k *configSync) setInForce(c configuration.Configuration, encoded []byte) {
	k.adopt(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inForce, k.encoded, k.adopted = c, encoded, time.Now()
}

// fetch fetches the configuration of another balancer.
func (k *configSync) fetch(ctx context.Context, from netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+configurationPath, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close() //nolint:errcheck // The body was read or is given up.
	if resp.StatusCode == http.StatusTooManyRequests {
		return errPeerBusy
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchSize))
	if err != nil {
		return trace.Wrap(err)
	}
	c, err := dsrpb.DecodeConfiguration(b)
	if err != nil {
		return trace.Wrap(err)
	}
	k.adoptIfNewer(c, b, time.Time{})
	k.onChecked()
	return nil
}

// errPeerBusy is returned to a balancer that asks one that serves as many as it may.
var errPeerBusy = errors.New("the balancer serves its configuration to others")

// ServeHTTP sends the configuration in force to another balancer.
func (k *configSync) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	select {
	case k.serving <- struct{}{}:
		defer func() { <-k.serving }()
	default:
		http.Error(w, errPeerBusy.Error(), http.StatusTooManyRequests)
		return
	}
	encoded, err := k.encodedConfiguration()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(encoded)
}

// errNotConfigured is returned to a balancer that asks one that has just started.
var errNotConfigured = errors.New("no configuration yet")

// encodedConfiguration is the configuration in force for other balancers, encoded when the first of them asks.
func (k *configSync) encodedConfiguration() ([]byte, error) {
	k.encodeMu.Lock()
	defer k.encodeMu.Unlock()
	k.mu.Lock()
	c, encoded := k.inForce, k.encoded
	k.mu.Unlock()
	if c.Version == 0 {
		return nil, errNotConfigured
	}
	if encoded != nil {
		return encoded, nil
	}
	encoded, err := dsrpb.EncodeConfiguration(c)
	if err != nil {
		return nil, trace.Wrap(err, "encoding configuration %d", configuration.DisplayVersion(c.Version))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce.Version == c.Version {
		k.encoded = encoded
	}
	return encoded, nil
}

// signal sends to a channel of one element unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
