package revision

import "github.com/uber-go/tally/v4"

// metrics are the metrics of the compile duty.
type metrics struct {
	rounds   tally.Counter
	accepted tally.Counter
	failed   tally.Counter
	statuses tally.Counter
	head     tally.Gauge
	rejected tally.Gauge
	compile  tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		rounds:   s.Counter("revision_rounds"),
		accepted: s.Counter("revision_accepted"),
		failed:   s.Counter("revision_round_failures"),
		statuses: s.Counter("revision_status_writes"),
		head:     s.Gauge("revision_head"),
		rejected: s.Gauge("revision_services_refused"),
		compile:  s.Timer("revision_compile_time"),
	}
}
