package dsrd

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
)

// propagationNode is a balancer as far as a change of the configuration goes: it notifies some others at once, and
// the rest regularly.
type propagationNode struct {
	address    netip.AddrPort
	peers      roster.Peers
	receivedAt time.Time
	// served is the number of balancers that have fetched the configuration here.
	served int
}

// propagationSim simulates balancers that know each other, one of which reads a change.
type propagationSim struct {
	now    time.Time
	random *rand.Rand
	nodes  map[netip.AddrPort]*propagationNode
	order  []*propagationNode
}

// propagationStep is the time from a balancer's message until its receiver has fetched the configuration.
const propagationStep = 10 * time.Millisecond

func newPropagationSim(n int) *propagationSim {
	w := &propagationSim{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(uint64(n), 1)), nodes: make(map[netip.AddrPort]*propagationNode)}
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720)
		node := &propagationNode{address: a, peers: roster.Peers{Seed: uint64(i)}}
		w.nodes[a] = node
		w.order = append(w.order, node)
	}
	for _, node := range w.order {
		for _, other := range w.order {
			if other != node {
				node.peers.MarkSeen(w.now, other.address)
			}
		}
	}
	return w
}

// recipients are the balancers that one notifies in this step: those at once, when it has just got the change, and
// those of its regular messages.
func (w *propagationSim) recipients(node *propagationNode) []*propagationNode {
	var out []*propagationNode
	if node.receivedAt.Equal(w.now) {
		for _, a := range node.peers.Sample(w.now, fanOut) {
			out = append(out, w.nodes[a])
		}
	}
	if w.random.Float64() < roster.SendRate*propagationStep.Seconds() {
		out = append(out, w.order[w.random.IntN(len(w.order))])
	}
	return out
}

// step simulates one step.
func (w *propagationSim) step() {
	type message struct{ from, to *propagationNode }
	var messages []message
	for _, node := range w.order {
		if node.receivedAt.IsZero() {
			continue
		}
		for _, to := range w.recipients(node) {
			messages = append(messages, message{node, to})
		}
	}
	w.now = w.now.Add(propagationStep)
	for _, x := range messages {
		if x.to.receivedAt.IsZero() {
			x.to.receivedAt = w.now
			x.from.served++
		}
	}
}

// A change reaches every balancer within the time that the checks allow for, and no balancer serves it to more than a
// few.
func TestAChangeReachesAllBalancersAtABoundedCostForEach(t *testing.T) {
	for _, n := range []int{59, 490} {
		w := newPropagationSim(n)
		read := w.now
		w.order[0].receivedAt = read
		for w.now.Sub(read) < propagationTime {
			w.step()
		}
		most, last := 0, read
		for _, node := range w.order {
			require.False(t, node.receivedAt.IsZero(), "%d balancers: all have it", n)
			most = max(most, node.served)
			if node.receivedAt.After(last) {
				last = node.receivedAt
			}
		}
		require.LessOrEqual(t, most, 3*fanOut, "%d balancers", n)
		require.LessOrEqual(t, last.Sub(read), propagationTime, "%d balancers", n)
	}
}
