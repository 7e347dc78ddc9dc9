package lease

import "time"

// Defaults of a lease.
const (
	// DefaultDuration is the time without a renewal after which others may take over.
	DefaultDuration = 6 * time.Second
	// renewalsPerDuration is the number of renewals within one duration.
	renewalsPerDuration = 3
	// pollsPerDuration is the number of reads of another holder's lease within one duration.
	pollsPerDuration = 2
	// marginDivisor is the divisor of the duration that gives the safety margin by which a holder stops early. It allows
	// for clocks that run at different rates.
	marginDivisor = 10
	// retryDivisor is the divisor of the duration that gives the delay before a failed call is retried.
	retryDivisor = 20
)

// Config names a lease and the process that competes for it.
type Config struct {
	// Name is the name of the lease object.
	Name string
	// Holder identifies this incarnation of the process; it must differ after a restart.
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

func (c Config) validity() time.Duration { return c.duration() - c.duration()/marginDivisor }

func (c Config) renewInterval() time.Duration { return c.duration() / renewalsPerDuration }

func (c Config) pollInterval() time.Duration { return c.duration() / pollsPerDuration }

func (c Config) retryDelay() time.Duration { return c.duration() / retryDivisor }
