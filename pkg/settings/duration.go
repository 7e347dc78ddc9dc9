package settings

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a duration that is written as text in TOML, for example "1m30s". It is a struct so that the decoder
// refuses a bare number, whose unit nobody could tell.
type Duration struct {
	d time.Duration
}

// durationFormat describes the format of a Duration.
const durationFormat = `a duration such as "30s"`

// NewDuration returns d as a Duration.
func NewDuration(d time.Duration) Duration {
	return Duration{d: d}
}

// UnmarshalText reads the duration from text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return trace.BadParameter("%q is not %s", b, durationFormat)
	}
	d.d = v
	return nil
}

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.d.String()), nil
}

// Duration returns the value as a time.Duration.
func (d Duration) Duration() time.Duration {
	return d.d
}
