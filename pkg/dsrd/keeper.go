package dsrd

import (
	"context"
	"encoding/json"
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

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Times of the configuration's checks.
const (
	// checkInterval is the time after which the configuration in force is compared with the object API again, unless
	// another balancer has done so. An accepted configuration must be in force within 3 s.
	checkInterval = 600 * time.Millisecond
	// checkStagger is added for each living balancer with a lower address, so that one of them checks for all.
	checkStagger = 150 * time.Millisecond
	// maxStagger bounds the sum of the additions.
	maxStagger = 600 * time.Millisecond
	// checkTimeout bounds one check; the object API answers within milliseconds, and within 400 ms when it is slow.
	checkTimeout = 500 * time.Millisecond
	// handOverTimeout bounds the fetch of a configuration from another balancer.
	handOverTimeout = 300 * time.Millisecond
	// keeperInterval is the time between two looks at whether a check is due, and the pause after a failed one.
	keeperInterval = 100 * time.Millisecond
	// maxConfiguration bounds a configuration that is handed over, in bytes: a value of the object API in base64.
	maxConfiguration = objectapi.MaxValueSize*4/3 + 4096
	// configurationPath is where a balancer hands its configuration over.
	configurationPath = "/v1/configuration"
)

// keeper keeps the configuration of a balancer up to date. No lock is held during a call.
type keeper struct {
	platform Platform
	self     netip.AddrPort
	log      zerolog.Logger
	client   *http.Client
	wake     chan struct{}
	// adopt takes a newer configuration into force; it returns an error when it cannot be read.
	adopt func(objectapi.Object) error
	// checkedNow is called after each check that worked and after each change, so that the other balancers need not check.
	checkedNow func()
	// living returns the living balancers.
	living func() []netip.AddrPort

	// taking lets one object be taken into force at a time; it is locked before mu.
	taking sync.Mutex

	mu sync.Mutex
	// object is the configuration in force, checked when it was last known to be the newest, failed the last failed check.
	object  objectapi.Object
	checked time.Time
	failed  time.Time
	failing bool
	// unreadable is the version that could not be read at the last check, 0 when it could.
	unreadable uint64
	// wanted is a version that another process has named; source is the balancer that has it, if known.
	wanted uint64
	source netip.AddrPort
}

func newKeeper(p Platform, self netip.AddrPort, log zerolog.Logger) *keeper {
	return &keeper{
		platform: p,
		self:     self,
		log:      log,
		client:   &http.Client{Timeout: handOverTimeout},
		wake:     make(chan struct{}, 1),
	}
}

// state returns the version in force, and how long ago it was known to be the newest.
func (k *keeper) state(now time.Time) (version uint64, age time.Duration, checked bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.object.Version, now.Sub(k.checked), !k.checked.IsZero()
}

// want tells that a newer version exists. Source is the balancer that has it, or the zero value.
func (k *keeper) want(version uint64, source netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.object.Version {
		return
	}
	k.wanted = max(k.wanted, version)
	if source.IsValid() {
		k.source = source
	}
	signal(k.wake)
}

// vouched takes another balancer's word that a version was the newest at a time.
func (k *keeper) vouched(version uint64, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version == k.object.Version && at.After(k.checked) {
		k.checked = at
	}
}

// run keeps the configuration until the context ends. Checks and fetches do not wait for each other: a balancer that starts
// while the object API is slow has the configuration of its peers within milliseconds.
func (k *keeper) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.checkLoop(ctx) })
	g.Go(func() error { return k.fetchLoop(ctx) })
	return g.Wait()
}

// checkLoop compares the configuration with the object API when that is due.
func (k *keeper) checkLoop(ctx context.Context) error {
	return every(ctx, keeperInterval, func(now time.Time) {
		if k.due(now) {
			k.check(ctx)
		}
	})
}

// fetchLoop takes newer configurations from the balancers that have them.
func (k *keeper) fetchLoop(ctx context.Context) error {
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
		if err := k.fetch(ctx, source); err != nil {
			k.log.Warn().Err(err).Str("op", "fetch-configuration").Stringer("peer", source).Msg("another balancer did not hand its configuration over")
		}
	}
}

// behind reports whether a newer version is known of, and the balancer that has it, if any.
func (k *keeper) behind() (netip.AddrPort, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.source, k.wanted > k.object.Version
}

// due reports whether the configuration is to be compared with the object API.
func (k *keeper) due(now time.Time) bool {
	wait := checkInterval + k.stagger()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.failed) < keeperInterval {
		return false
	}
	// What cannot be read is looked at again as seldom as what is in force: only its writer can mend it.
	if k.unreadable > k.object.Version && now.Sub(k.failed) < checkInterval {
		return false
	}
	return k.wanted > k.object.Version || k.checked.IsZero() || now.Sub(k.checked) >= wait
}

// stagger is the wait beyond checkInterval.
func (k *keeper) stagger() time.Duration {
	var d time.Duration
	for _, a := range k.living() {
		if a.Compare(k.self) < 0 {
			d += checkStagger
		}
	}
	return min(d, maxStagger)
}

// check reads the configuration from the object API.
func (k *keeper) check(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	o, err := k.platform.Store.Get(ctx, k.platform.ConfigurationKind, k.platform.ConfigurationName)
	if errors.Is(err, objectapi.ErrNotFound) {
		k.note(began, nil)
		return
	}
	k.note(began, err)
	if err != nil {
		return
	}
	if err := k.take(o, began); err != nil {
		k.cannotRead(o.Version)
		return
	}
	k.checkedNow()
}

// cannotRead notes a version whose object is no configuration; the one in force stays.
func (k *keeper) cannotRead(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreadable, k.failed = version, time.Now()
}

// note keeps the outcome of a check and logs when checks begin to fail or to work.
func (k *keeper) note(began time.Time, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || k.object.Version == 0 {
		k.failed = time.Now()
	}
	if k.failing == (err != nil) {
		return
	}
	k.failing = err != nil
	if err != nil {
		k.log.Warn().Err(err).Str("op", "check-configuration").Uint64("configuration", k.object.Version).
			Dur("age_ms", time.Since(k.checked)).Msg("the object API was lost")
		return
	}
	k.log.Warn().Str("op", "check-configuration").Uint64("configuration", k.object.Version).
		Dur("took_ms", time.Since(began)).Msg("the object API was regained")
}

// take takes an object into force when it is newer. At is when it was known to be the newest.
func (k *keeper) take(o objectapi.Object, at time.Time) error {
	k.taking.Lock()
	defer k.taking.Unlock()
	k.mu.Lock()
	newer := o.Version > k.object.Version
	k.mu.Unlock()
	if newer {
		// A configuration that cannot be read leaves the last good one in force.
		if err := k.adopt(o); err != nil {
			return err
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if newer {
		k.object = o
	}
	if o.Version == k.object.Version && at.After(k.checked) {
		k.checked = at
	}
	return nil
}

// fetch takes the configuration of another balancer.
func (k *keeper) fetch(ctx context.Context, from netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+configurationPath, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close() //nolint:errcheck // The body was read or is given up.
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var o objectapi.Object
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxConfiguration)).Decode(&o); err != nil {
		return trace.Wrap(err)
	}
	if err := k.take(o, time.Time{}); err != nil {
		return err
	}
	k.checkedNow()
	return nil
}

// ServeHTTP hands the configuration in force to another balancer.
func (k *keeper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	o := k.object
	k.mu.Unlock()
	if o.Version == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	b, err := json.Marshal(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// signal sends to a channel of one element unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
