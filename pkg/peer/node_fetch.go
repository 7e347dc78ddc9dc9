package peer

import (
	"context"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// scheduleFetch makes fetchLoop fetch the revision of the peer at addr. When another fetch is already queued it does
// nothing: a later exchange schedules the fetch again.
func (n *Node) scheduleFetch(addr string) {
	select {
	case n.fetchAddrs <- addr:
	default:
	}
}

// fetchLoop fetches higher revisions from peers.
func (n *Node) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-n.fetchAddrs:
			n.fetch(ctx, addr)
		}
	}
}

func (n *Node) fetch(ctx context.Context, addr string) {
	n.metrics.fetches.Inc(1)
	r, err := n.fetchFrom(ctx, addr)
	if err != nil {
		n.cfg.Adopter.RecordMissing(revision.SourcePeer, err.Error())
		n.cfg.Log.Warn().Err(err).Str("op", "fetch revision").Str("peer", addr).Send()
		return
	}
	n.cfg.Adopter.Offer(r, revision.SourcePeer)
}

// fetchFrom requests the difference to the current revision, and the whole revision when the difference can't be
// applied.
func (n *Node) fetchFrom(ctx context.Context, addr string) (resource.Revision, error) {
	have := n.cfg.Adopter.Number()
	reply, err := n.requestRevision(ctx, addr, have)
	if err != nil {
		return resource.Revision{}, err
	}
	r, err := n.history.apply(reply)
	if err == nil || reply.GetBase() == 0 {
		return r, err
	}
	if reply, err = n.requestRevision(ctx, addr, 0); err != nil {
		return resource.Revision{}, err
	}
	return n.history.apply(reply)
}

func (n *Node) requestRevision(ctx context.Context, addr string, have uint64) (*peerpb.FetchRevisionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := n.dialer.client(addr)
	if err != nil {
		return nil, err
	}
	var options []grpc.CallOption
	if have == 0 {
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	reply, err := client.FetchRevision(ctx, &peerpb.FetchRevisionRequest{Have: have}, options...)
	if err != nil {
		return nil, trace.Wrap(err, "fetch revision from peer %s", addr)
	}
	return reply, nil
}
