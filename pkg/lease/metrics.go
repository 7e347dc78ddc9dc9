package lease

import "github.com/uber-go/tally/v4"

// metrics are the metrics of one lease in this process.
type metrics struct {
	held   tally.Gauge
	term   tally.Gauge
	begun  tally.Counter
	ended  tally.Counter
	failed tally.Counter
}

func newMetrics(s tally.Scope, lease string) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.Tagged(map[string]string{"lease": lease})
	return metrics{
		held:   s.Gauge("lease_held"),
		term:   s.Gauge("lease_term"),
		begun:  s.Counter("lease_duties_begun"),
		ended:  s.Counter("lease_duties_ended"),
		failed: s.Counter("lease_duty_failures"),
	}
}
