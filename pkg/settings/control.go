package settings

import "time"

// Control bounds the traffic between the processes.
type Control struct {
	// BytesPerSecond is the highest number of bytes that this process sends to its peers in a second, averaged over
	// ten seconds. Default 12000.
	BytesPerSecond int `toml:"bytes_per_second"`
	// ExchangeInterval is the time between two exchanges with a peer. Default 500ms.
	ExchangeInterval Duration `toml:"exchange_interval"`
	// DialTimeout bounds the opening of a connection to a peer. Default 2s.
	DialTimeout Duration `toml:"dial_timeout"`
}

// Bounds of the section's keys.
const (
	minBytesPerSecond   = 1000
	maxBytesPerSecond   = 100_000_000
	minExchangeInterval = 50 * time.Millisecond
	maxExchangeInterval = time.Minute
)

// DefaultControl returns the defaults of the section.
func DefaultControl() Control {
	return Control{BytesPerSecond: 12000, ExchangeInterval: NewDuration(500 * time.Millisecond), DialTimeout: NewDuration(2 * time.Second)}
}

// check finds the mistakes of the section.
func (c Control) check(m *mistakes) {
	m.within("control.bytes_per_second", c.BytesPerSecond, minBytesPerSecond, maxBytesPerSecond)
	m.duration("control.exchange_interval", c.ExchangeInterval, minExchangeInterval, maxExchangeInterval)
	m.duration("control.dial_timeout", c.DialTimeout, minTimeout, maxTimeout)
}
