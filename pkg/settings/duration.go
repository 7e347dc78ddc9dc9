package settings

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is written as text in TOML, for example "1m30s".
type Duration time.Duration

// UnmarshalText reads the duration from text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return trace.BadParameter("%q is not a duration such as \"30s\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Duration returns the value as a time.Duration.
func (d Duration) Duration() time.Duration {
	return time.Duration(d)
}
