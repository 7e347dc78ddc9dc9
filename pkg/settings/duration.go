package settings

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a duration that is written as text in TOML, for example "1m30s". It is a struct so that the decoder
// rejects a bare number, which has no unit.
type Duration struct {
	d time.Duration
}

// durationFormat describes the format of a Duration.
const durationFormat = `a duration such as "30s"`

func NewDuration(d time.Duration) Duration {
	return Duration{d: d}
}

func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return trace.BadParameter("%q is not %s", b, durationFormat)
	}
	d.d = v
	return nil
}

func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.d.String()), nil
}

func (d Duration) Duration() time.Duration {
	return d.d
}
