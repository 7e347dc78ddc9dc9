package peer

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// announceTo sends the balancer's own record to a watcher that requested it.
func (n *Node) announceTo(ctx context.Context, addr string) {
	reply, err := announce(ctx, n.dialer, n.self, addr)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("op", "announce").Str("peer", addr).Send()
		return
	}
	if seen := memberFromProto(reply.GetMember()); n.self.refute(seen) {
		n.table.Merge(n.self.get(), n.cfg.Now())
	}
}

// announce sends a process's own record to the balancer at addr.
func announce(ctx context.Context, d *dialer, s *self, addr string) (*peerpb.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := d.client(addr)
	if err != nil {
		return nil, err
	}
	m := s.get()
	reply, err := client.Announce(ctx, &peerpb.AnnounceRequest{Member: memberToProto(&m)})
	if err != nil {
		return nil, trace.Wrap(err, "announce %s to peer %s", m.ID, addr)
	}
	return reply, nil
}
