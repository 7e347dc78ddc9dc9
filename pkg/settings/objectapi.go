package settings

import "time"

// ObjectAPI says where the platform's object API is and how much of it this process may use.
type ObjectAPI struct {
	// URL is the base URL, http or https. Required.
	URL string `toml:"url"`
	// Timeout bounds one call other than a watch. Default 2s.
	Timeout Duration `toml:"timeout"`
	// CallsPerSecond bounds all calls of the process together, a waiting watch as one. Default 6.
	CallsPerSecond float64 `toml:"calls_per_second"`
	// Burst is the number of calls that may be made at once after a quiet time. Default 20.
	Burst int `toml:"burst"`
}

// Bounds of the section's keys.
const (
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = time.Minute
	maxCallsPerSecond = 1000
	maxBurst          = 10000
)

// DefaultObjectAPI returns the defaults of the section.
func DefaultObjectAPI() ObjectAPI {
	return ObjectAPI{Timeout: NewDuration(2 * time.Second), CallsPerSecond: 6, Burst: 20}
}

// check finds the mistakes of the section.
func (o ObjectAPI) check(m *mistakes) {
	m.url("object_api.url", o.URL)
	m.duration("object_api.timeout", o.Timeout, minTimeout, maxTimeout)
	m.rate("object_api.calls_per_second", o.CallsPerSecond, maxCallsPerSecond)
	m.within("object_api.burst", o.Burst, 1, maxBurst)
}
