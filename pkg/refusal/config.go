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
	// DefaultMaxQueue is the number of records that wait for the mirror.
	DefaultMaxQueue = 2000
	// DefaultMirrorRate is the number of bytes a second that mirroring may send, about half of what a process may spend
	// for control at the size to design for, and DefaultMirrorBurst what it may send at once.
	DefaultMirrorRate  = 6000
	DefaultMirrorBurst = 100000
	// DefaultRetain is how long records that were handed over are kept by a process without a store.
	DefaultRetain = 30 * time.Second
	// DefaultMinInterval and DefaultMaxInterval bound the time between two objects.
	DefaultMinInterval = 2 * time.Second
	DefaultMaxInterval = time.Minute
	// DefaultMirrorBatch is the highest number of records in one call of the mirror.
	DefaultMirrorBatch = 256
	// DefaultMirrorTimeout bounds a call of the mirror.
	DefaultMirrorTimeout = 2 * time.Second
	// keepWritten is how long written objects are kept to be written again, the most that an object API may lose when it comes back from an older
	// copy, and maxKeptWritten the bytes of them.
	keepWritten    = time.Minute
	maxKeptWritten = 4 << 20
	// DefaultWriteTimeout bounds a call of the store.
	DefaultWriteTimeout = 10 * time.Second
)

// Config holds the settings of a Log; zero values mean the defaults.
type Config struct {
	// Process names the deciding process, and Incarnation its life; together they make record IDs unique, so that a
	// process must never start twice with one incarnation.
	Process     string
	Incarnation uint64
	// Store takes the batches. A process without it hands its records to a peer by Mirror, which accepts and writes them.
	Store objectapi.Store
	// Eras are those of the object API behind Store. In a later era what was written shortly before is written again, since it may be lost; nil means
	// that there are none.
	Eras *objectapi.Eras
	// Mirror takes a copy of each record; without it a death loses the records that are not yet in the store.
	Mirror Mirror
	// MaxHeld is the number of own records from which equal ones are merged.
	MaxHeld int
	// MaxAdopted is the number of peers' records from which equal ones are merged.
	MaxAdopted int
	// MaxQueue is the number of records that wait for the mirror from which equal ones are merged.
	MaxQueue int
	// MirrorRate is the number of bytes a second that mirroring may send, after a burst of MirrorBurst.
	MirrorRate  int
	MirrorBurst int
	// Retain is how long a process without a store keeps records that were handed over, for MirrorChanged.
	Retain time.Duration
	// MinInterval and MaxInterval bound the time between two objects that this process writes.
	MinInterval time.Duration
	MaxInterval time.Duration
	// MirrorBatch is the highest number of records in one call of the mirror, and MirrorTimeout bounds the call.
	MirrorBatch   int
	MirrorTimeout time.Duration
	// WriteTimeout bounds a call of the store.
	WriteTimeout time.Duration
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Rand returns a number in [0, 1) for jitter; the default is math/rand.
	Rand func() float64
	// Logger gets a line for each batch, failure, merge and adoption.
	Logger zerolog.Logger
	// Scope gets the counters; the default drops them.
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
