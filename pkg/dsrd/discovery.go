package dsrd

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Times of the search for balancers.
const (
	// discoverInterval is how often it is tested whether a balancer is alive.
	discoverInterval = 500 * time.Millisecond
	// seedWait is how long the balancers in the settings may take to answer before others are looked for in the object
	// API. At the first start of the whole system none is there yet.
	seedWait = 500 * time.Millisecond
	// rediscoverMin is the time after which a process without a living balancer looks again, doubled each time up to
	// rediscoverMax: balancers may have joined since.
	rediscoverMin = 2 * time.Second
	rediscoverMax = 30 * time.Second
)

// discovery finds balancers for a process: those in the settings, and some of those in the object API. Those name all
// others in their messages, so that a start costs one call at most, whatever the number of balancers.
type discovery struct {
	store objectapi.Store
	log   zerolog.Logger
	seeds []netip.AddrPort
	// firstStart is set when the whole system starts for the first time.
	firstStart bool
	// found adds balancers, isAlone reports whether no other balancer is alive.
	found   func([]netip.AddrPort)
	isAlone func(now time.Time) bool
	// sampled is called with what the object API returned; nil means that nothing else is to be done with it.
	sampled func([]objectapi.Object)

	schedule rediscovery
}

// run looks for balancers until the context ends.
func (d *discovery) run(ctx context.Context) error {
	d.found(d.seeds)
	d.schedule.start(time.Now(), d.firstStart, rand.Float64())
	return every(ctx, discoverInterval, func(now time.Time) {
		if d.schedule.due(now, d.isAlone(now), rand.Float64()) {
			d.sample(ctx)
		}
	})
}

// sample reads some balancers from the object API, and logs a failure.
func (d *discovery) sample(ctx context.Context) {
	err := d.read(ctx)
	if err != nil && ctx.Err() == nil {
		d.log.Warn().Err(err).Str("op", "read-members").Msg("balancers cannot be read from the object API; retrying while none is alive")
	}
}

// read reads some balancers from the object API.
func (d *discovery) read(ctx context.Context) error {
	objects, err := objectapi.Sample(ctx, d.store, MemberKind, "")
	if err != nil {
		return err
	}
	if d.sampled != nil {
		d.sampled(objects)
	}
	d.found(addressesOf(objects, d.log))
	return nil
}

// rediscovery decides when a process looks for balancers in the object API.
type rediscovery struct {
	// unconditional is set until the first look of a process that restarts: balancers that are known at once are met
	// sooner than those that seeds name.
	unconditional bool
	next          time.Time
	pause         time.Duration
}

// start sets the time of the first look. Draw is a random number in [0, 1).
func (r *rediscovery) start(now time.Time, firstStart bool, draw float64) {
	r.unconditional, r.next, r.pause = !firstStart, now, rediscoverMin
	if firstStart {
		r.next = now.Add(spread(seedWait, draw))
	}
}

// due reports whether to look now. Processes that lost all balancers at the same moment look at different times.
func (r *rediscovery) due(now time.Time, alone bool, draw float64) bool {
	if !alone && !r.unconditional {
		r.next, r.pause = now.Add(time.Duration(draw*float64(rediscoverMin))), rediscoverMin
		return false
	}
	if now.Before(r.next) {
		return false
	}
	r.unconditional = false
	r.next = now.Add(spread(r.pause, draw))
	r.pause = min(2*r.pause, rediscoverMax)
	return true
}

// spread returns a duration between d and twice d.
func spread(d time.Duration, draw float64) time.Duration { return d + time.Duration(draw*float64(d)) }
