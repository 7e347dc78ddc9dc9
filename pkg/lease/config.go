package lease

import "time"

// Defaults of a lease.
const (
	// DefaultDuration is the time without a renewal after which others may take over.
	DefaultDuration = 6 * time.Second
	// renewParts is the number of renewals in one duration.
	renewParts = 3
	// pollParts is the number of reads of another holder's lease in one duration.
	pollParts = 2
	// marginParts is the part of the duration by which a holder gives up early, against clocks of different rates.
	marginParts = 10
	// retryParts is the part of the duration that passes before a failed call is tried again.
	retryParts = 20
)

// Config names a lease and the process that wants it.
type Config struct {
	// Name is the name of the lease object.
	Name string
	// Holder identifies this run of the process; it must differ after a restart.
	Holder string
	// Duration is the time without a renewal after which others may take over; 0 means DefaultDuration.
	Duration time.Duration
}

func (c Config) duration() time.Duration {
	if c.Duration == 0 {
		return DefaultDuration
	}
	return c.Duration
}

func (c Config) validity() time.Duration { return c.duration() - c.duration()/marginParts }

func (c Config) renewEvery() time.Duration { return c.duration() / renewParts }

func (c Config) pollEvery() time.Duration { return c.duration() / pollParts }

func (c Config) retryAfter() time.Duration { return c.duration() / retryParts }
