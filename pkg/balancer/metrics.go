package balancer

import (
	"github.com/uber-go/tally/v4"
)

// metrics holds the balancer's counters.
type metrics struct {
	packets      tally.Counter
	forwarded    tally.Counter
	newFlows     tally.Counter
	cacheHits    tally.Counter
	cacheMisses  tally.Counter
	malformed    tally.Counter
	foreign      tally.Counter
	learned      tally.Counter
	refused      tally.Counter
	overRate     tally.Counter
	sendErrors   tally.Counter
	unreachable  tally.Counter
	receiveError tally.Counter
	unroutable   tally.Counter
	revision     tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("balancer")
	return &metrics{
		packets:      s.Counter("packets"),
		forwarded:    s.Counter("forwarded"),
		newFlows:     s.Counter("new_flows"),
		cacheHits:    s.Counter("cache_hits"),
		cacheMisses:  s.Counter("cache_misses"),
		malformed:    s.Counter("malformed_packets"),
		foreign:      s.Counter("foreign_datagrams"),
		learned:      s.Counter("learned_owners"),
		refused:      s.Counter("refused"),
		overRate:     s.Counter("refused_over_rate"),
		sendErrors:   s.Counter("send_errors"),
		unreachable:  s.Counter("unreachable_agents"),
		receiveError: s.Counter("receive_errors"),
		unroutable:   s.Counter("unroutable_packets_dropped"),
		revision:     s.Gauge("revision"),
	}
}
