package dsrd

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
)

// spreadNode is a balancer as far as a change of the configuration goes: it tells some others at once, and the rest regularly.
type spreadNode struct {
	address netip.AddrPort
	peers   roster.Peers
	hasAt   time.Time
	// handed is the number of balancers that have fetched the configuration here.
	handed int
}

// spreadWorld plays balancers that hear of each other, one of which reads a change.
type spreadWorld struct {
	now    time.Time
	random *rand.Rand
	nodes  map[netip.AddrPort]*spreadNode
	order  []*spreadNode
}

// spreadStep is the time from one balancer's word until another one has fetched the configuration.
const spreadStep = 10 * time.Millisecond

func newSpreadWorld(n int) *spreadWorld {
	w := &spreadWorld{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(uint64(n), 1)), nodes: make(map[netip.AddrPort]*spreadNode)}
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720)
		node := &spreadNode{address: a, peers: roster.Peers{Seed: uint64(i)}}
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

// told are the balancers that one tells in this step: those at once, when it has just got the change, and those whose turn it is.
func (w *spreadWorld) told(node *spreadNode) []*spreadNode {
	var out []*spreadNode
	if node.hasAt.Equal(w.now) {
		for _, a := range node.peers.Sample(w.now, fanOut) {
			out = append(out, w.nodes[a])
		}
	}
	if w.random.Float64() < roster.SendRate*spreadStep.Seconds() {
		out = append(out, w.order[w.random.IntN(len(w.order))])
	}
	return out
}

// step plays one step.
func (w *spreadWorld) step() {
	type word struct{ from, to *spreadNode }
	var words []word
	for _, node := range w.order {
		if node.hasAt.IsZero() {
			continue
		}
		for _, to := range w.told(node) {
			words = append(words, word{node, to})
		}
	}
	w.now = w.now.Add(spreadStep)
	for _, x := range words {
		if x.to.hasAt.IsZero() {
			x.to.hasAt = w.now
			x.from.handed++
		}
	}
}

// A change reaches every balancer within the time that the checks allow for, and nobody hands it to more than a few.
func TestAChangeReachesAllBalancersAtABoundedCostForEach(t *testing.T) {
	for _, n := range []int{59, 490} {
		w := newSpreadWorld(n)
		read := w.now
		w.order[0].hasAt = read
		for w.now.Sub(read) < spreadTime {
			w.step()
		}
		most, last := 0, read
		for _, node := range w.order {
			require.False(t, node.hasAt.IsZero(), "%d balancers: all have it", n)
			most = max(most, node.handed)
			if node.hasAt.After(last) {
				last = node.hasAt
			}
		}
		require.LessOrEqual(t, most, 3*fanOut, "%d balancers", n)
		require.LessOrEqual(t, last.Sub(read), spreadTime, "%d balancers", n)
	}
}
