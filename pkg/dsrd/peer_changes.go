package dsrd

import (
	"net/netip"
	"strings"

	"github.com/rs/zerolog"
)

const (
	// maxChangeLines is the number of peers that are logged with a line each when they were lost or regained between two looks. When more
	// were, as at the start of all or after a cut, one line counts them: with a line for each pair, 69 balancers and 197 agents wrote
	// 65,000 lines in a day of two starts.
	maxChangeLines = 4
	// maxChangeNames is the number of peers that such a line names.
	maxChangeNames = 16
)

// peerChange is a kind of change of what is known of peers.
type peerChange struct {
	op, message string
}

// Changes of peers.
var (
	agentLost        = peerChange{"agent-lost", "nothing was heard of a process"}
	agentRegained    = peerChange{"agent-regained", "an agent was heard of"}
	balancerLost     = peerChange{"balancer-lost", "nothing was heard of a process"}
	balancerRegained = peerChange{"balancer-regained", "a balancer was heard of"}
)

// log writes the peers that have changed in the same way since the last look.
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
