package settings

import "time"

// ObjectAPI has the URL of the platform's object API and the limits on this process's calls.
type ObjectAPI struct {
	// URL is the base URL, http or https. Required.
	URL string `toml:"url"`
	// Timeout is the timeout of a call other than a watch. Default 2s.
	Timeout Duration `toml:"timeout"`
	// CallsPerSecond is the rate limit of all calls of the process; a long-polling watch counts as one. Default 6.
	CallsPerSecond float64 `toml:"calls_per_second"`
	// Burst is the burst size of the rate limit in calls. Default 20.
	Burst int `toml:"burst"`
}

// Bounds of the section's keys.
const (
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = time.Minute
	maxCallsPerSecond = 1000
	maxBurst          = 10000
)

func DefaultObjectAPI() ObjectAPI {
	return ObjectAPI{Timeout: NewDuration(2 * time.Second), CallsPerSecond: 6, Burst: 20}
}

func (o ObjectAPI) check(m *mistakes) {
	m.url("object_api.url", o.URL)
	m.duration("object_api.timeout", o.Timeout, minTimeout, maxTimeout)
	m.positive("object_api.calls_per_second", o.CallsPerSecond, maxCallsPerSecond, "calls a second")
	m.within("object_api.burst", o.Burst, 1, maxBurst)
}
