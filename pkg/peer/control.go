package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// control implements the control service of a node.
type control struct {
	peerpb.UnimplementedControlServer
	node *Node
}

// Announce implements peerpb.ControlServer.
func (c *control) Announce(_ context.Context, r *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	m := memberFromProto(r.GetMember())
	if err := validateAnnouncement(&m); err != nil {
		return nil, err
	}
	n := c.node
	if n.table.Merge(m, n.cfg.Now()) {
		n.metrics.merged.Inc(1)
		n.cfg.Log.Info().Str("op", "announce").Str("member", m.ID).Str("role", m.Role.String()).Str("service", m.Service).
			Str("state", m.State.String()).Uint64("incarnation", m.Incarnation).Uint64("sequence", m.Sequence).Send()
	}
	reply := &peerpb.AnnounceReply{Watchers: n.watcherAddrs(m)}
	for _, p := range append(n.pickNeighbours(peersInReply-1), n.self.get()) {
		reply.Peers = append(reply.Peers, p.ControlAddr)
	}
	if seen, ok := n.table.Get(m.ID); ok {
		reply.Member = memberToProto(&seen)
	}
	return reply, nil
}

func validateAnnouncement(m *membership.Member) error {
	switch {
	case m.ID == "" || m.Incarnation == 0:
		return status.Error(codes.InvalidArgument, "announce: id and incarnation are required")
	case !m.Valid():
		return status.Error(codes.InvalidArgument, "announce: role, state or final state is invalid")
	case m.State == membership.StateDead:
		return status.Error(codes.InvalidArgument, "announce: a process can't announce itself as dead")
	case m.Role == membership.RoleAgent && (m.Service == "" || !m.PacketAddr.IsValid()):
		return status.Error(codes.InvalidArgument, "announce: an agent needs a service and a packet address")
	case m.Role == membership.RoleBalancer && m.ControlAddr == "":
		return status.Error(codes.InvalidArgument, "announce: a balancer needs a control address")
	}
	return nil
}

// Vote implements peerpb.ControlServer.
func (c *control) Vote(_ context.Context, r *peerpb.VoteRequest) (*peerpb.VoteReply, error) {
	c.node.detector.Vote(membership.Vote{
		Voter:       r.GetVoter(),
		Member:      r.GetMember(),
		Incarnation: r.GetIncarnation(),
		Sequence:    r.GetSequence(),
		Withdrawn:   r.GetWithdrawn(),
	}, c.node.cfg.Now())
	return &peerpb.VoteReply{}, nil
}

// MirrorRefusals implements peerpb.ControlServer.
func (c *control) MirrorRefusals(_ context.Context, r *peerpb.MirrorRefusalsRequest) (*peerpb.MirrorRefusalsReply, error) {
	if c.node.cfg.Mirror == nil {
		return nil, status.Error(codes.Unimplemented, "mirror refusals: this balancer doesn't store refusal records")
	}
	if err := c.node.cfg.Mirror(r.GetId(), r.GetRecords()); err != nil {
		return nil, status.Errorf(codes.ResourceExhausted, "mirror refusals: %v", err)
	}
	return &peerpb.MirrorRefusalsReply{}, nil
}

// FetchRevision implements peerpb.ControlServer.
func (c *control) FetchRevision(_ context.Context, r *peerpb.FetchRevisionRequest) (*peerpb.FetchRevisionReply, error) {
	return c.node.history.reply(r.GetHave()), nil
}

// Exchange implements peerpb.ControlServer.
func (c *control) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	n := c.node
	n.mergeRecords(r.GetMembers())
	mergeVerdicts(n.table, r.GetVerdicts(), n.cfg.Now())
	n.acks.Merge(acksFromProto(r.GetAcks()))
	c.fetchIfHigher(r)
	reply := &peerpb.ExchangeReply{Revision: n.cfg.Adopter.Number()}
	if len(r.GetSummaries()) > 0 {
		limit := min(max(int(r.GetMaxBytes()), maxCompareBytes), maxJoinBytes)
		members, want := n.table.Delta(summariesFromProto(r.GetSummaries()), limit)
		reply.Members, reply.Want = membersToProto(members), want
	}
	if proto.Size(reply) > compressAbove {
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	if r.GetPush() {
		return reply, nil
	}
	reply.Root = n.table.Root()
	if reply.Root != r.GetRoot() && len(r.GetSummaries()) == 0 {
		reply.Buckets = n.table.Digest().Buckets
	}
	if n.acks.Root() != r.GetAcksRoot() && n.maySendAcks(n.cfg.Now()) {
		reply.Acks = acksToProto(n.acks.All())
	}
	return reply, nil
}

// fetchIfHigher schedules a fetch of the calling balancer's revision when that is higher.
func (c *control) fetchIfHigher(r *peerpb.ExchangeRequest) {
	n := c.node
	if r.GetRevision() <= n.cfg.Adopter.Number() {
		return
	}
	caller, ok := n.table.Get(r.GetId())
	if !ok || caller.ControlAddr == "" {
		return
	}
	n.scheduleFetch(caller.ControlAddr)
}

// maySendAcks limits replies with all acknowledgements to one per ackInterval, because the list has an entry for each
// balancer. When it returns true, the interval starts again.
func (n *Node) maySendAcks(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.ackSent) < ackInterval {
		return false
	}
	n.ackSent = now
	return true
}
