package control

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// target is the control session of an agent, without its packet path.
type target struct {
	id, region string
	session    *peer.Session
	stop       context.CancelFunc
}

// firstAgentPort is the base of the ports in the agents' packet addresses; no packet is sent to them.
const firstAgentPort = 20000

// addTarget starts a control session that announces a target.
func (c *cluster) addTarget(ctx context.Context) (*target, error) {
	n := c.next()
	region, dataCentre := c.o.place(n)
	t := &target{id: processName("target", n), region: region}
	var err error
	t.session, err = peer.NewSession(peer.SessionConfig{
		Self: membership.Member{
			ID:          t.id,
			Incarnation: uint64(time.Now().UnixNano()),
			Region:      region,
			DataCentre:  dataCentre,
			PacketAddr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstAgentPort+n)),
			Service:     serviceName(n % c.services()),
			Slots:       targetSlots,
		},
		Seeds:   c.controlAddrs(region),
		OnView:  func(*view.Service) {},
		Log:     c.o.Log,
		Metrics: c.sessions,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	run, stop := context.WithCancel(ctx)
	t.stop = stop
	c.done.Go(func() { _ = t.session.Run(run) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
	return t, nil
}

const targetSlots = 3

// sessionBytes returns the control bytes that all sessions sent and received so far.
func sessionBytes(s tally.TestScope) int64 {
	var n int64
	for _, c := range s.Snapshot().Counters() {
		if c.Name() == "control_bytes_sent" || c.Name() == "control_bytes_received" {
			n += c.Value()
		}
	}
	return n
}
