package dsrd

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
)

// syncInterval is how often it is tested whether a check of the configuration is due.
const syncInterval = 100 * time.Millisecond

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
	// living is the number of living balancers, isAlone reports whether no other balancer is alive.
	living      func() int
	isAlone     func() bool
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

// behind reports whether a newer version exists, and the balancer that has it, if known.
func (k *configSync) behind() (netip.AddrPort, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newerSource, k.newerVersion > k.inForce.Version
}

// signal sends to a channel of one element unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
