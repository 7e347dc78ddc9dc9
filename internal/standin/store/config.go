package store

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Default settings of a Store.
const (
	DefaultHistory   = 10000
	DefaultWatchWait = 30 * time.Second
)

// Config holds the settings of a Store; zero values mean the defaults.
type Config struct {
	// History is the number of events that are kept for watches.
	History int
	// WatchWait is how long a watch waits for an event before it returns none.
	WatchWait time.Duration
	// Seed makes the random faults reproducible.
	Seed uint64
	// Era is the era in which the store starts; a store in era 0 names no era until it is restored from a snapshot.
	Era uint64
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Sleep waits for a duration or the end of the context; the default uses a timer.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (c Config) withDefaults() Config {
	if c.History == 0 {
		c.History = DefaultHistory
	}
	if c.WatchWait == 0 {
		c.WatchWait = DefaultWatchWait
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = wait.For
	}
	return c
}
