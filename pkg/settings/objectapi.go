package settings

import "time"

// ObjectAPI says where the platform's object API is and how much of it this process may use.
type ObjectAPI struct {
	// URL is the base URL, http or https. Required.
	URL string `toml:"url"`
	// Timeout bounds one call other than a watch. Default 2s.
	Timeout Duration `toml:"timeout"`
	// ReadsPerSecond bounds get, list and watch calls. Default 4.
	ReadsPerSecond float64 `toml:"reads_per_second"`
	// WritesPerSecond bounds create, update and delete calls. Default 2.
	WritesPerSecond float64 `toml:"writes_per_second"`
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
	return ObjectAPI{Timeout: NewDuration(2 * time.Second), ReadsPerSecond: 4, WritesPerSecond: 2, Burst: 20}
}

// check finds the mistakes of the section.
func (o ObjectAPI) check(m *mistakes) {
	m.url("object_api.url", o.URL)
	m.duration("object_api.timeout", o.Timeout, minTimeout, maxTimeout)
	m.rate("object_api.reads_per_second", o.ReadsPerSecond, maxCallsPerSecond)
	m.rate("object_api.writes_per_second", o.WritesPerSecond, maxCallsPerSecond)
	m.within("object_api.burst", o.Burst, 1, maxBurst)
}
