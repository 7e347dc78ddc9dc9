package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// exchangeLoop exchanges records with a few neighbours in each interval, less often while the byte budget is overdrawn.
func (n *Node) exchangeLoop(ctx context.Context) error {
	n.joinPeers(ctx)
	for {
		_ = wait.For(ctx, n.jitter(n.throttled(n.cfg.ExchangeInterval)))
		if ctx.Err() != nil {
			return nil
		}
		for _, p := range n.partners() {
			n.calls.Go(func() { n.exchange(ctx, p, maxCompareBytes) })
		}
	}
}

// throttled returns d, or d times overdrawnFactor while the byte budget is overdrawn.
func (n *Node) throttled(d time.Duration) time.Duration {
	if !n.budget.isOverdrawn() {
		return d
	}
	n.metrics.throttled.Inc(1)
	return d * overdrawnFactor
}

// jitter returns d plus or minus up to 20%, so that the balancers' rounds don't synchronise.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d*8/10 + time.Duration(n.random.Int64N(int64(d)*4/10+1))
}

// joinPeers fetches the members from the first peer that replies. It ignores the byte budget, because a joining
// balancer needs all members.
func (n *Node) joinPeers(ctx context.Context) {
	for _, p := range append(n.seeds(), n.pickNeighbours(pushFanOut)...) {
		if !n.exchange(ctx, p, maxJoinBytes) {
			continue
		}
		for range maxJoinCalls {
			before := n.table.Version()
			n.exchange(ctx, p, maxJoinBytes)
			if n.table.Version() == before {
				break
			}
		}
		return
	}
}

// seeds returns the configured seeds, other than this node, as peers without an ID.
func (n *Node) seeds() []membership.Member {
	var seeds []membership.Member
	for _, addr := range n.cfg.Seeds {
		if addr != n.self.get().ControlAddr {
			seeds = append(seeds, membership.Member{ControlAddr: addr})
		}
	}
	return seeds
}

// partners returns the peers of one round: some neighbours, and occasionally, or when there are none, a lost peer.
func (n *Node) partners() []membership.Member {
	partners := n.pickNeighbours(exchangeFanOut)
	lost := n.lost()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(lost) == 0 || len(partners) > 0 && n.random.IntN(lostPeerOdds) > 0 {
		return partners
	}
	return append(partners, lost[n.random.IntN(len(lost))])
}

// lost returns the dead balancers and the seeds.
func (n *Node) lost() []membership.Member {
	lost := n.seeds()
	for _, b := range n.table.Balancers() {
		if b.State == membership.StateDead && b.ControlAddr != "" {
			lost = append(lost, b)
		}
	}
	return lost
}

// pickNeighbours returns up to count random neighbours.
func (n *Node) pickNeighbours(count int) []membership.Member {
	m := n.self.get()
	neighbours := membership.Neighbours(&m, n.table.Balancers())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	return neighbours[:min(count, len(neighbours))]
}

// newExchange returns a request with the hashes and the revision number that summarise this balancer's state.
func (n *Node) newExchange() *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		Id:       n.cfg.Self.ID,
		Root:     n.table.Root(),
		Revision: n.cfg.Adopter.Number(),
		AcksRoot: n.acks.Root(),
	}
}

// exchange compares tables with a peer, transfers differing records in both directions and reports whether the peer
// replied. Each of the up to three calls carries at most maxBytes of records.
func (n *Node) exchange(ctx context.Context, p membership.Member, maxBytes int) bool {
	n.metrics.exchanges.Inc(1)
	reply, err := n.call(ctx, p, n.newExchange())
	n.recordPeerResult(p, err == nil)
	if err != nil {
		n.metrics.exchangeFails.Inc(1)
		n.cfg.Log.Debug().Err(err).Str("op", "exchange").Str("peer", p.ControlAddr).Send()
		return false
	}
	n.mergeReply(p, reply)
	differing := n.table.Differing(reply.GetBuckets())
	if len(differing) == 0 {
		return true
	}
	n.shuffle(differing)
	request := n.newExchange()
	request.Summaries = summariesToProto(n.table.Summaries(differing, maxBytes))
	request.MaxBytes = uint32(maxBytes)
	reply, err = n.call(ctx, p, request)
	if err != nil {
		return true
	}
	n.mergeReply(p, reply)
	n.sendRecords(ctx, p, reply.GetWant(), maxBytes)
	return true
}

func (n *Node) shuffle(buckets []uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
}

// sendRecords sends the records that a peer requested.
func (n *Node) sendRecords(ctx context.Context, p membership.Member, want []uint32, maxBytes int) {
	members := n.table.Select(want, maxBytes)
	if len(members) == 0 {
		return
	}
	request := n.newExchange()
	request.Push = true
	request.Members = membersToProto(members)
	if _, err := n.call(ctx, p, request); err != nil {
		n.cfg.Log.Debug().Err(err).Str("op", "exchange").Str("peer", p.ControlAddr).Send()
	}
}

// mergeReply merges a reply and schedules a fetch of the peer's revision when that is higher.
func (n *Node) mergeReply(p membership.Member, reply *peerpb.ExchangeReply) {
	n.mergeRecords(reply.GetMembers())
	n.acks.Merge(acksFromProto(reply.GetAcks()))
	if reply.GetRevision() > n.cfg.Adopter.Number() {
		n.scheduleFetch(p.ControlAddr)
	}
}

// mergeRecords merges the records of a peer into the table.
func (n *Node) mergeRecords(members []*peerpb.Member) {
	now := n.cfg.Now()
	for _, p := range members {
		if n.table.Merge(memberFromProto(p), now) {
			n.metrics.merged.Inc(1)
		}
	}
}

// recordPeerResult records in the failure detector, and for the peer's region, whether a call to the peer succeeded.
func (n *Node) recordPeerResult(p membership.Member, ok bool) {
	now := n.cfg.Now()
	if p.State != membership.StateDead {
		n.detector.RecordPeerResult(p.ControlAddr, ok, now)
	}
	if p.Region == "" || p.Region == n.cfg.Self.Region {
		return
	}
	reachable := n.regions.RecordResult(p.Region, ok, now)
	if n.table.SetUnreachable(p.Region, !reachable) {
		n.cfg.Log.Warn().Str("op", "reach region").Str("region", p.Region).Bool("reachable", reachable).Msg("members are kept as they are")
	}
}

// call sends an exchange request, compressed when it is larger than compressAbove.
func (n *Node) call(ctx context.Context, p membership.Member, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := n.dialer.client(p.ControlAddr)
	if err != nil {
		return nil, err
	}
	var options []grpc.CallOption
	if proto.Size(request) > compressAbove {
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	reply, err := client.Exchange(ctx, request, options...)
	if err != nil {
		return nil, trace.Wrap(err, "exchange with peer %s at %s", p.ID, p.ControlAddr)
	}
	return reply, nil
}
