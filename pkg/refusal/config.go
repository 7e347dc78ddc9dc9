package refusal

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Default settings of a Log.
const (
	// DefaultMaxHeld is the number of own records in memory.
	DefaultMaxHeld = 20000
	// DefaultMaxAdopted is the number of peers' records in memory.
	DefaultMaxAdopted = 20000
	// DefaultMaxQueue is the number of records queued for the mirror.
	DefaultMaxQueue = 2000
	// DefaultMirrorRate is the mirroring rate in bytes per second, about half of a process's budget for control traffic
	// at the design size, and DefaultMirrorBurst the burst in bytes.
	DefaultMirrorRate  = 6000
	DefaultMirrorBurst = 100000
	// DefaultRetain is how long a process keeps records that it has handed over.
	DefaultRetain = 30 * time.Second
	// DefaultMinInterval and DefaultMaxInterval bound the time between two objects.
	DefaultMinInterval = 2 * time.Second
	DefaultMaxInterval = time.Minute
	// DefaultMirrorBatch is the maximum number of records per mirror call.
	DefaultMirrorBatch = 256
	// DefaultMirrorTimeout bounds a mirror call.
	DefaultMirrorTimeout = 2 * time.Second
	// rewriteWindow is how long written objects are kept in memory to be written again: the longest period of writes
	// that a restore of the object API from an older copy may lose. maxRewriteBytes bounds their size.
	rewriteWindow   = time.Minute
	maxRewriteBytes = 4 << 20
	// DefaultWriteTimeout bounds a store call.
	DefaultWriteTimeout = 10 * time.Second
)

// Config holds the settings of a Log; zero values mean the defaults.
type Config struct {
	// Process names the deciding process, and Incarnation its incarnation. Together they make record IDs unique, so a
	// process must never start twice with the same incarnation.
	Process     string
	Incarnation uint64
	// Store receives the batches. A process without a store hands its records by Mirror to a peer, which accepts and
	// writes them.
	Store objectapi.Store
	// Eras tracks the eras of the object API behind Store; nil means that it has none. When a new era starts, recently
	// written objects are written again, because they may have been lost.
	Eras *objectapi.Eras
	// Mirror receives a copy of each record; without it, a crash loses the records that are not yet in the store.
	Mirror Mirror
	// HandsOver reports whether the peer behind Mirror accepts and writes the records at present, so that this process
	// does not; nil means never while there is a store. It is called without locks.
	HandsOver func() bool
	// MirrorDelay is how long records are collected for a mirror call.
	MirrorDelay time.Duration
	// MaxHeld is the number of own records at which equal ones are merged.
	MaxHeld int
	// MaxAdopted is the number of peers' records at which equal ones are merged.
	MaxAdopted int
	// MaxQueue is the number of records queued for the mirror at which equal ones are merged.
	MaxQueue int
	// MirrorRate is the mirroring rate in bytes per second, after a burst of MirrorBurst bytes.
	MirrorRate  int
	MirrorBurst int
	// Retain is how long a process keeps records that it has handed over, for MirrorChanged.
	Retain time.Duration
	// MinInterval and MaxInterval bound the time between two objects that this process writes.
	MinInterval time.Duration
	MaxInterval time.Duration
	// MirrorBatch is the maximum number of records per mirror call, and MirrorTimeout bounds the call.
	MirrorBatch   int
	MirrorTimeout time.Duration
	// WriteTimeout bounds a store call.
	WriteTimeout time.Duration
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Rand returns a number in [0, 1) for jitter; the default is math/rand.
	Rand func() float64
	// Logger gets one line for each batch, failure, and takeover of a peer's records.
	Logger zerolog.Logger
	// Scope receives the counters; nil discards them.
	Scope tally.Scope
}

func (c Config) withDefaults() Config {
	orInt(&c.MaxHeld, DefaultMaxHeld)
	orInt(&c.MaxAdopted, DefaultMaxAdopted)
	orInt(&c.MaxQueue, DefaultMaxQueue)
	orInt(&c.MirrorRate, DefaultMirrorRate)
	orInt(&c.MirrorBurst, DefaultMirrorBurst)
	orTime(&c.Retain, DefaultRetain)
	orInt(&c.MirrorBatch, DefaultMirrorBatch)
	orTime(&c.MinInterval, DefaultMinInterval)
	orTime(&c.MaxInterval, DefaultMaxInterval)
	orTime(&c.MirrorTimeout, DefaultMirrorTimeout)
	orTime(&c.WriteTimeout, DefaultWriteTimeout)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

func orInt(v *int, fallback int) {
	if *v == 0 {
		*v = fallback
	}
}

func orTime(v *time.Duration, fallback time.Duration) {
	if *v == 0 {
		*v = fallback
	}
}
