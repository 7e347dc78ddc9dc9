package dsrd

import (
	"net/netip"
	"strings"

	"github.com/rs/zerolog"
)

const (
	// maxChangeLines is the number of lost or regained peers that are logged with a line each. When there were more
	// since the last log, as at a common start or after a network partition, one line counts them, since a line for
	// each pair would flood the log: 69 balancers and 197 agents would write 65,000 lines on a day with two starts.
	maxChangeLines = 4
	// maxChangeNames is the number of peers that such a line names.
	maxChangeNames = 16
)

// peerChange is a kind of change in the reachability of peers.
type peerChange struct {
	op, message string
}

var (
	agentLost        = peerChange{"agent-lost", "peer is silent"}
	agentRegained    = peerChange{"agent-regained", "agent seen again or for the first time"}
	balancerLost     = peerChange{"balancer-lost", "peer is silent"}
	balancerRegained = peerChange{"balancer-regained", "balancer seen again or for the first time"}
)

// log logs the peers that have changed in the same way since the last log.
func (c peerChange) log(log zerolog.Logger, peers []netip.AddrPort) {
	if len(peers) > maxChangeLines {
		log.Warn().Str("op", c.op).Int("count", len(peers)).Str("peers", namesOf(peers)).Msg(c.message)
		return
	}
	for _, a := range peers {
		log.Warn().Str("op", c.op).Stringer("peer", a).Msg(c.message)
	}
}

// namesOf lists the first peers.
func namesOf(peers []netip.AddrPort) string {
	var names []string
	for _, a := range peers[:min(len(peers), maxChangeNames)] {
		names = append(names, a.String())
	}
	return strings.Join(names, " ")
}
