package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// partition opens connections and can cut those that cross between regions.
type partition struct {
	mu      sync.Mutex
	cut     bool
	regions map[string]string
	conns   []net.Conn
}

func (b *partition) dial(region string) dialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		crosses := b.regions[addr] != region
		if crosses && b.cut {
			return nil, errors.New("network unreachable")
		}
		c, err := dialTCP(ctx, addr)
		if err == nil && crosses {
			b.conns = append(b.conns, c)
		}
		return c, err
	}
}

func (b *partition) set(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.conns = nil
}

func TestPartitionedRegionsConverge(t *testing.T) {
	regions := []string{"amman-east", "hcm"}
	b := &partition{regions: make(map[string]string)}
	nodes := startNodes(t, 4, func(i int, c *NodeConfig) {
		region := regions[i/2]
		b.mu.Lock()
		b.regions[c.Listener.Addr().String()] = region
		b.mu.Unlock()
		c.Self.Region, c.Self.DataCentre, c.dial = region, region+"-1", b.dial(region)
	})
	near, far := nodes[:2], nodes[2:]
	nodes[0].adopter.Offer(routeRevision(1, "route-svc"), revision.SourceHead)
	startSession(t, "t0", addrsOf(near), func(c *SessionConfig) { c.dial = b.dial("amman-east") })
	drained := startSession(t, "t1", addrsOf(far), func(c *SessionConfig) {
		c.Self.Region, c.Self.DataCentre, c.dial = "hcm", "hcm-1", b.dial("hcm")
	})
	for _, n := range nodes {
		eventually(t, "all known", func() bool { return n.countActive() == 6 && n.adopter.Number() == 1 })
	}
	b.set(true)
	nodes[0].adopter.Offer(routeRevision(2, "route-svc"), revision.SourceHead)
	eventually(t, "revision adopted on this side", func() bool { return near[1].adopter.Number() == 2 })
	drained.Drain()
	eventually(t, "draining seen on the other side", func() bool { return far[0].state("t1") == membership.StateDraining })
	for _, n := range near {
		eventually(t, "other side unreachable", func() bool { m, _ := n.table.Get("t1"); return m.Unreachable })
		require.Equal(t, membership.StateActive, n.state("t1"), "members of the other side keep their state")
	}
	for _, n := range far {
		eventually(t, "other side unreachable", func() bool { m, _ := n.table.Get("b0"); return m.Unreachable })
		require.Equal(t, uint64(1), n.adopter.Number())
		require.Equal(t, membership.StateActive, n.state("b0"))
		require.Equal(t, membership.StateActive, n.state("t0"))
	}
	b.set(false)
	for _, n := range nodes {
		eventually(t, "agreement", func() bool {
			m, _ := n.table.Get("t1")
			return m.State == membership.StateDraining && !m.Unreachable && n.adopter.Number() == 2
		})
		eventually(t, "same table", func() bool { return n.table.Root() == nodes[0].table.Root() })
	}
}
