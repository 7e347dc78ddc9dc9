package peer

import "github.com/uber-go/tally/v4"

type nodeMetrics struct {
	exchanges     tally.Counter
	exchangeFails tally.Counter
	throttled     tally.Counter
	pushes        tally.Counter
	merged        tally.Counter
	votes         tally.Counter
	deaths        tally.Counter
	cutOff        tally.Gauge
	fetches       tally.Counter
}

func newNodeMetrics(s tally.Scope) *nodeMetrics {
	return &nodeMetrics{
		exchanges:     s.Counter("peer_exchanges"),
		exchangeFails: s.Counter("peer_exchange_failures"),
		throttled:     s.Counter("peer_exchanges_delayed"),
		pushes:        s.Counter("peer_pushes"),
		merged:        s.Counter("member_changes"),
		votes:         s.Counter("member_votes_sent"),
		deaths:        s.Counter("member_deaths"),
		cutOff:        s.Gauge("member_observer_cut_off"),
		fetches:       s.Counter("revision_fetches"),
	}
}
