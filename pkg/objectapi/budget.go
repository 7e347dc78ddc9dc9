package objectapi

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Default settings of a Budgeted store.
const (
	DefaultCallRate   = 4.0
	DefaultCallBurst  = 20
	DefaultMaxWait    = 5 * time.Second
	DefaultMaxRetries = 3
	DefaultRetryShare = 0.1
	DefaultRetryBurst = 10
)

var (
	errBudgetExhausted = errors.New("call budget of this process exhausted")
	errContextDone     = errors.New("context ended before the call")
)

// BudgetConfig holds the settings of a Budgeted store; zero values mean the defaults.
type BudgetConfig struct {
	// Rate is the number of calls a second: reads, writes and watches together.
	Rate float64
	// Burst is the number of calls that may be made at once after an idle time.
	Burst int
	// MaxWait is the longest time a call may wait for the rate limiter. A call that would wait longer is refused with
	// ErrUnavailable.
	MaxWait time.Duration
	// MaxRetries is the maximum number of retries of one get or list; below 0 means none. Writes are never retried
	// here, and watches are paced by their Informer.
	MaxRetries int
	// RetryShare is the number of retries that each call adds to the retry budget, and RetryBurst its maximum.
	RetryShare float64
	RetryBurst float64
	// Backoff paces the retries; its Rand must be safe for concurrent use.
	Backoff Backoff
	// Scope receives the counters; the default discards them.
	Scope tally.Scope
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Rate == 0 {
		c.Rate = DefaultCallRate
	}
	if c.Burst == 0 {
		c.Burst = DefaultCallBurst
	}
	if c.MaxWait == 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.MaxRetries == 0 {
		c.MaxRetries = DefaultMaxRetries
	}
	if c.RetryShare == 0 {
		c.RetryShare = DefaultRetryShare
	}
	if c.RetryBurst == 0 {
		c.RetryBurst = DefaultRetryBurst
	}
	if c.Backoff.Rand == nil {
		c.Backoff.Rand = rand.Float64
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

// Budgeted is a Store that limits the rate of all calls of a process, retries reads within a budget and counts calls.
type Budgeted struct {
	store   Store
	cfg     BudgetConfig
	limiter *rate.Limiter
	counts  *callCounts

	mu      sync.Mutex
	retries float64
}

var (
	_ Store   = (*Budgeted)(nil)
	_ Sampler = (*Budgeted)(nil)
)

// NewBudgeted wraps a store. A process should share one Budgeted among all its users of the store.
func NewBudgeted(store Store, cfg BudgetConfig) *Budgeted {
	cfg = cfg.withDefaults()
	return &Budgeted{
		store:   store,
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Burst),
		counts:  newCallCounts(cfg.Scope),
		retries: cfg.RetryBurst,
	}
}

// Stats returns the counts so far.
func (b *Budgeted) Stats() CallStats {
	return b.counts.snapshot()
}

// Get implements Store.
func (b *Budgeted) Get(ctx context.Context, kind Kind, name string) (o Object, err error) {
	err = b.read(ctx, OpGet, kind, name, func() error {
		o, err = b.store.Get(ctx, kind, name)
		return err
	})
	return o, err
}

// List implements Store.
func (b *Budgeted) List(ctx context.Context, kind Kind) (items []Object, version uint64, err error) {
	err = b.read(ctx, OpList, kind, "", func() error {
		items, version, err = b.store.List(ctx, kind)
		return err
	})
	return items, version, err
}

// Sample implements Sampler.
func (b *Budgeted) Sample(ctx context.Context, kind Kind, after string) (items []Object, err error) {
	err = b.callOnce(ctx, OpSample, kind, "", func() error {
		items, err = Sample(ctx, b.store, kind, after)
		return err
	})
	return items, err
}

// Create implements Store.
func (b *Budgeted) Create(ctx context.Context, kind Kind, name string, value []byte) (o Object, err error) {
	err = b.callOnce(ctx, OpCreate, kind, name, func() error {
		o, err = b.store.Create(ctx, kind, name, value)
		return err
	})
	return o, err
}

// Update implements Store.
func (b *Budgeted) Update(ctx context.Context, in Object) (o Object, err error) {
	err = b.callOnce(ctx, OpUpdate, in.Kind, in.Name, func() error {
		o, err = b.store.Update(ctx, in)
		return err
	})
	return o, err
}

// Delete implements Store.
func (b *Budgeted) Delete(ctx context.Context, kind Kind, name string, version uint64) error {
	return b.callOnce(ctx, OpDelete, kind, name, func() error { return b.store.Delete(ctx, kind, name, version) })
}

// Watch implements Store.
func (b *Budgeted) Watch(ctx context.Context, kind Kind, from uint64) (events []Event, next uint64, err error) {
	err = b.callOnce(ctx, OpWatch, kind, "", func() error {
		b.counts.addOpenWatches(1)
		defer b.counts.addOpenWatches(-1)
		events, next, err = b.store.Watch(ctx, kind, from)
		return err
	})
	return events, next, err
}

// read makes a call and retries it while the store is unavailable and the retry budget lasts.
func (b *Budgeted) read(ctx context.Context, op Op, kind Kind, name string, f func() error) error {
	backoff := b.cfg.Backoff
	for n := 0; ; n++ {
		err := b.callOnce(ctx, op, kind, name, f)
		if !b.takeRetry(err, n) {
			return err
		}
		if wait.For(ctx, backoff.Next()) != nil {
			return err
		}
	}
}

// callOnce waits for the rate limiter, makes the call and counts it.
func (b *Budgeted) callOnce(ctx context.Context, op Op, kind Kind, name string, f func() error) error {
	if err := b.acquire(ctx); err != nil {
		b.counts.countRefused(op)
		return NewCallError(op, kind, name, "budget", ErrUnavailable, err)
	}
	b.earnRetry()
	err := f()
	b.counts.countCall(op, kind, err)
	return err
}

// acquire waits for a token of the rate limiter, or returns an error when the wait would exceed MaxWait or ctx ends.
func (b *Budgeted) acquire(ctx context.Context) error {
	if ctx.Err() != nil {
		return errors.Join(errContextDone, ctx.Err())
	}
	r := b.limiter.Reserve()
	d := r.Delay()
	if d == 0 {
		return nil
	}
	deadline, ok := ctx.Deadline()
	if d > b.cfg.MaxWait || ok && time.Until(deadline) < d {
		r.Cancel()
		return errBudgetExhausted
	}
	b.counts.countWait()
	if err := wait.For(ctx, d); err != nil {
		r.Cancel()
		return errors.Join(errContextDone, err)
	}
	return nil
}

// earnRetry adds the share of one call to the retry budget.
func (b *Budgeted) earnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.cfg.RetryBurst, b.retries+b.cfg.RetryShare)
}

// takeRetry reports whether a failed read is to be retried, and takes the retry from the budget.
func (b *Budgeted) takeRetry(err error, n int) bool {
	if err == nil || !errors.Is(err, ErrUnavailable) || errors.Is(err, errBudgetExhausted) || errors.Is(err, errContextDone) {
		return false
	}
	if n >= b.cfg.MaxRetries {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		b.counts.countRetry(false)
		return false
	}
	b.retries--
	b.counts.countRetry(true)
	return true
}
