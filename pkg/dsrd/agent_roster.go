package dsrd

import (
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Limits of the lists of agents that balancers send to those that have just started.
const (
	// queriedPeers is the number of balancers that a starting one asks for the agents in one round; each names all.
	queriedPeers = 3
	// maxRoster bounds the addresses of one kind in a message: 2,880 bytes, about two Ethernet frames.
	maxRoster = 160
	// rosterLinkShare is the divisor of a VM's link that gives the lasting rate of such lists and their burst: when all
	// balancers restart together, all ask the same few, and each list has all agents.
	rosterLinkShare = 16
	// bytesPerMbit converts the rate of a link to bytes.
	bytesPerMbit = 1e6 / 8
)

// rosterBudget bounds the bytes of the lists of agents that a balancer sends, to an eighth of its link in any second.
type rosterBudget struct {
	limiter *rate.Limiter
}

func newRosterBudget(linkMbps float64) rosterBudget {
	bytes := linkMbps * bytesPerMbit / rosterLinkShare
	return rosterBudget{limiter: rate.NewLimiter(rate.Limit(bytes), int(bytes))}
}

// take reports whether a list of a number of agents may be sent now, and counts it. A list that is larger than the budget of
// a second is sent when that is unused.
func (r rosterBudget) take(now time.Time, agents int) bool {
	return r.limiter.AllowN(now, min(agents*wire.AddrSize, r.limiter.Burst()))
}

// sendAgents names the living agents to a balancer that has just started, which asks another one when the budget is used up.
// b.mu is held.
func (b *Balancer) sendAgents(now time.Time, to netip.AddrPort) {
	// All known agents are counted: to look for the living ones among them costs more than to decline.
	if !b.rosters.take(now, b.agents.Len()) {
		return
	}
	balancers := encodeAddresses(b.balancers.Sample(now, bootstrapPeers))
	for agents := range slices.Chunk(b.agents.Living(now), maxRoster) {
		b.send(to, &dsrpb.Message{
			Kind:          dsrpb.Kind_KIND_GOSSIP,
			Configuration: b.core.Routes().Version(),
			Evacuations:   encodeEvacuations(b.core.Evacuations()),
			Roster: &dsrpb.Roster{
				Agents:     encodeAddresses(agents),
				Balancers:  balancers,
				IntervalMs: uint32(b.balancers.IntervalTo(to) / time.Millisecond),
			},
		})
	}
}

// introduceTo makes this balancer known to agents that another balancer has named and that are not alive here; they
// announce themselves at once. b.mu is held.
func (b *Balancer) introduceTo(now time.Time, agents []netip.AddrPort) {
	for _, a := range agents {
		if !b.agents.Alive(now, a) {
			m := b.welcomeMessage(now, "")
			m.Roster.Ask = true
			// Agents that other balancers know also know those balancers.
			m.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, gossipedPeers))
			b.send(a, m)
		}
	}
}
