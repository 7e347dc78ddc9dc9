package dsrd

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
)

// meetingStep is the time in which a message arrives, and that between two tests of what is due.
const meetingStep = sendInterval

// meetingNode is a process as far as meeting others goes.
type meetingNode struct {
	address netip.AddrPort
	agent   bool
	starts  time.Time
	// balancers are those that it knows; met are the agents that a balancer knows, with the time of its last answer.
	balancers roster.Peers
	met       map[netip.AddrPort]time.Time
	// sent and received count the messages of the current second.
	sent, received int
}

// meetingMessage is a message between daemons.
type meetingMessage struct {
	from, to *meetingNode
	names    []netip.AddrPort
	interval time.Duration
	joined   bool
}

// meeting simulates processes that start together and know only the balancers in their settings.
type meeting struct {
	now    time.Time
	random *rand.Rand
	nodes  map[netip.AddrPort]*meetingNode
	order  []*meetingNode
	sent   []meetingMessage
	agents int
}

func newMeeting(balancers, agents int) *meeting {
	w := &meeting{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(uint64(balancers), 1)), nodes: make(map[netip.AddrPort]*meetingNode), agents: agents}
	addresses := unreachable(balancers + agents)
	for i, a := range addresses {
		n := &meetingNode{address: a, agent: i >= balancers, met: make(map[netip.AddrPort]time.Time), balancers: roster.Peers{Seed: uint64(i)}}
		n.starts = w.now.Add(time.Duration(w.random.Int64N(int64(300 * time.Millisecond))))
		for _, seed := range addresses[:3] {
			if seed != a {
				n.balancers.Add(n.starts, seed)
			}
		}
		w.nodes[a] = n
		w.order = append(w.order, n)
	}
	return w
}

func (w *meeting) send(m meetingMessage) {
	w.sent = append(w.sent, m)
	m.from.sent++
}

// step delivers the messages of the last step and sends what is due.
func (w *meeting) step() {
	w.now = w.now.Add(meetingStep)
	arriving := w.sent
	w.sent = nil
	for _, m := range arriving {
		if w.now.Before(m.to.starts) {
			continue
		}
		m.to.received++
		switch {
		case m.to.agent:
			w.welcomed(m)
		case m.from.agent:
			w.announced(m)
		default:
			m.to.balancers.MarkSeen(w.now, m.from.address)
			m.to.balancers.SetSendInterval(m.from.address, m.interval)
			w.learn(m.to, m.names)
		}
	}
	for _, n := range w.order {
		if !w.now.Before(n.starts) {
			w.sendDue(n)
		}
	}
}

func (w *meeting) learn(n *meetingNode, names []netip.AddrPort) {
	for _, a := range names {
		if a != n.address {
			n.balancers.Add(w.now, a)
		}
	}
}

func (w *meeting) sendDue(n *meetingNode) {
	due := n.balancers.Due(w.now)
	if len(due) == 0 {
		return
	}
	reconnect, regular := n.balancers.Sample(w.now, reconnectPeers), n.balancers.Sample(w.now, gossipedPeers)
	for _, a := range due {
		m := meetingMessage{from: n, to: w.nodes[a], interval: n.balancers.IntervalTo(a), joined: n.balancers.Alive(w.now, a), names: regular}
		if !m.joined {
			m.names = reconnect
		}
		w.send(m)
	}
}

// announced handles an agent's announcement at a balancer.
func (w *meeting) announced(m meetingMessage) {
	last, known := m.to.met[m.from.address]
	if known && m.joined && w.now.Sub(last) < welcomeInterval {
		return
	}
	m.to.met[m.from.address] = w.now
	names := gossipedPeers
	if !m.joined {
		names = bootstrapPeers
	}
	w.send(meetingMessage{
		from: m.to, to: m.from, names: m.to.balancers.Sample(w.now, names), interval: roster.IntervalFor(len(m.to.met)),
	})
}

// welcomed handles a balancer's answer at an agent.
func (w *meeting) welcomed(m meetingMessage) {
	n := m.to
	if n.balancers.MarkSeen(w.now, m.from.address) && w.now.Sub(n.balancers.LastSent(m.from.address)) >= answerTime {
		w.send(meetingMessage{from: n, to: m.from, interval: n.balancers.IntervalTo(m.from.address), joined: true})
	}
	n.balancers.SetRequestedInterval(m.from.address, m.interval)
	w.learn(n, m.names)
}

// complete reports whether every balancer knows every agent.
func (w *meeting) complete() bool {
	for _, n := range w.order {
		if !n.agent && len(n.met) < w.agents {
			return false
		}
	}
	return true
}

// run simulates until all have met, and returns the time that it took and the messages that the busiest process received
// in a second.
func (w *meeting) run(limit time.Duration) (took time.Duration, most int) {
	began := w.now
	for !w.complete() && w.now.Sub(began) < limit {
		if w.now.Sub(began)%time.Second == 0 {
			w.startSecond()
		}
		w.step()
		for _, n := range w.order {
			most = max(most, n.received)
		}
	}
	return w.now.Sub(began), most
}

// startSecond starts the counts of messages anew.
func (w *meeting) startSecond() {
	for _, n := range w.order {
		n.sent, n.received = 0, 0
	}
}

// At the first start of all, everybody knows the same few balancers, and nobody lists the others. All must meet soon, and
// the few must not get more messages than a process that meets all others does.
func TestProcessesMeetThroughAFewBalancers(t *testing.T) {
	for _, c := range []struct{ balancers, agents int }{{50, 110}, {150, 340}} {
		w := newMeeting(c.balancers, c.agents)
		took, most := w.run(5 * time.Second)
		require.Less(t, took, 3*time.Second, "%d balancers, %d agents", c.balancers, c.agents)
		require.LessOrEqual(t, most, 4*(c.balancers+c.agents), "%d balancers, %d agents", c.balancers, c.agents)
	}
}

// knowsNoneBefore counts the balancers that know no living one with a lower address.
func (w *meeting) knowsNoneBefore() int {
	n := 0
	for _, b := range w.order {
		if b.agent {
			continue
		}
		before := slices.ContainsFunc(b.balancers.Living(w.now), func(a netip.AddrPort) bool { return a.Compare(b.address) < 0 })
		if !before {
			n++
		}
	}
	return n
}

// Balancers that start together do not know each other at first; each takes itself for the one that checks for all.
func TestOneBalancerComesFirstOnceAllHaveSettled(t *testing.T) {
	for _, c := range []struct{ balancers, agents int }{{50, 110}, {150, 340}} {
		w := newMeeting(c.balancers, c.agents)
		for began := w.now; w.now.Sub(began) < settleTime; {
			w.step()
		}
		require.Equal(t, 1, w.knowsNoneBefore(), "%d balancers, %d agents", c.balancers, c.agents)
	}
}

// Processes that meet at the same moment must not go on in bursts: between two of them nobody would hear of the checks of the
// configuration, and others would take over.
func TestMessagesAreSpreadEvenlyAfterAStart(t *testing.T) {
	w := newMeeting(150, 0)
	silent := 0
	for second := range 25 {
		w.startSecond()
		for range int(time.Second / meetingStep) {
			w.step()
		}
		for _, n := range w.order {
			if second >= 4 && n.sent < roster.SendRate/4 {
				silent++
			}
		}
	}
	require.Zero(t, silent, "seconds in which a balancer sent hardly anything")
}
