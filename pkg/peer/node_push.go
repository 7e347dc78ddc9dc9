package peer

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// pushLoop pushes changes of the table and new revision numbers to a few neighbours. Each balancer pushes a change
// once; the exchange repairs what the pushes miss.
func (n *Node) pushLoop(ctx context.Context) error {
	changes, cancel := n.table.Subscribe()
	defer cancel()
	revisions, stop := n.changes.subscribe()
	defer stop()
	n.pushed = n.table.Version()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-revisions:
		}
		_ = wait.For(ctx, n.throttled(pushBatchDelay))
		n.push(ctx)
	}
}

func (n *Node) push(ctx context.Context) {
	version := n.table.Version()
	members := n.table.ChangedSince(n.pushed)
	n.pushed = version
	revision := n.cfg.Adopter.Number()
	if len(members) == 0 && revision == n.revisionPushed {
		return
	}
	n.revisionPushed = revision
	request := n.newExchange()
	request.Members, request.Verdicts = splitVerdicts(members)
	n.pushAll(ctx, request)
}

// pushAll sends a request to pushFanOut random neighbours.
func (n *Node) pushAll(ctx context.Context, request *peerpb.ExchangeRequest) {
	request.Push = true
	n.metrics.pushes.Inc(1)
	for _, p := range n.pickNeighbours(pushFanOut) {
		n.calls.Go(func() { n.pushTo(ctx, p, request) })
	}
}

// ackLoop pushes new acknowledgements to a few neighbours.
func (n *Node) ackLoop(ctx context.Context) error {
	pushed := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.acks.Changed():
		}
		_ = wait.For(ctx, n.throttled(ackBatchDelay))
		acks, version := n.acks.ChangedSince(pushed)
		pushed = version
		if len(acks) == 0 {
			continue
		}
		request := n.newExchange()
		request.Acks = acksToProto(acks)
		n.pushAll(ctx, request)
	}
}

func (n *Node) pushTo(ctx context.Context, p membership.Member, request *peerpb.ExchangeRequest) {
	reply, err := n.call(ctx, p, request)
	n.recordPeerResult(p, err == nil)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("op", "push").Str("peer", p.ControlAddr).Send()
		return
	}
	n.mergeReply(p, reply)
}

// splitVerdicts returns the dead members as verdicts, which are smaller than records, and the others as records, as far
// as they fit into maxPushBytes.
func splitVerdicts(members []membership.Member) (records []*peerpb.Member, verdicts []*peerpb.Verdict) {
	size := 0
	for i := range members {
		m := &members[i]
		if m.State == membership.StateDead {
			verdicts = append(verdicts, &peerpb.Verdict{
				Member: membership.HashID(m.ID), Incarnation: m.Incarnation, Sequence: m.Sequence, ChangedMs: timeToProto(m.Changed),
			})
			continue
		}
		size += membership.RecordSize(m)
		if size > maxPushBytes {
			continue
		}
		records = append(records, memberToProto(m))
	}
	return records, verdicts
}

// mergeVerdicts merges verdicts into the table. A verdict on a record other than the one in the table is ignored; the
// exchange transfers the full record later.
func mergeVerdicts(t *membership.Table, verdicts []*peerpb.Verdict, now time.Time) {
	for _, v := range verdicts {
		for _, m := range t.Select([]uint32{v.GetMember()}, 0) {
			if m.Incarnation != v.GetIncarnation() || m.Sequence != v.GetSequence() {
				continue
			}
			m.State = membership.StateDead
			m.Changed = timeFromProto(v.GetChangedMs())
			t.Merge(m, now)
		}
	}
}
