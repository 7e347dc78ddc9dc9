package resource

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is encoded as JSON text, for example "1m30s".
type Duration time.Duration

func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from text such as "30s". It returns an error for any other form.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return trace.BadParameter("must be text such as \"30s\"")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return trace.BadParameter("%q is not a duration such as \"30s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Or returns the duration, or fallback when it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}
