package peer

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// Counters implements peerpb.ControlServer.
func (c *control) Counters(_ context.Context, r *peerpb.CountersRequest) (*peerpb.CountersReply, error) {
	if r.GetService() == "" {
		return nil, status.Error(codes.InvalidArgument, "counters: service is required")
	}
	reply := &peerpb.CountersReply{}
	for _, reading := range c.node.readings.of(r.GetService(), c.node.cfg.Now()) {
		reply.Readings = append(reply.Readings, readingToProto(reading))
	}
	return reply, nil
}

// CounterReadings holds the replies of the watchers of a service's targets.
type CounterReadings struct {
	// Readings holds one reading for each agent incarnation and replying watcher.
	Readings []Reading
	// Asked is the number of watchers that were called, Answered the number of those that replied.
	Asked, Answered int
}

// Counters requests the last reported counters of the service's targets from their watchers. No target is missing as
// long as one of its watchers replies.
func (n *Node) Counters(ctx context.Context, service string) CounterReadings {
	watchers := n.watchersOf(service)
	out := CounterReadings{Asked: len(watchers)}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentCounterCalls)
	for _, w := range watchers {
		g.Go(func() error {
			list, err := n.countersOf(ctx, w, service)
			if err != nil {
				n.cfg.Log.Debug().Err(err).Str("op", "counters").Str("service", service).Str("peer", w.ID).Send()
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out.Answered++
			out.Readings = append(out.Readings, list...)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// watchersOf returns the reachable balancers that watch an agent of the service. Agents that are gone are included,
// because their watchers keep the last counters for readingRetention.
func (n *Node) watchersOf(service string) []membership.Member {
	seen := make(map[string]bool)
	var out []membership.Member
	for _, m := range n.table.Members() {
		if m.Role != membership.RoleAgent || m.Service != service {
			continue
		}
		for _, id := range n.table.Watchers(&m) {
			if seen[id] {
				continue
			}
			seen[id] = true
			if b, ok := n.table.Get(id); ok && b.ControlAddr != "" && !b.Unreachable {
				out = append(out, b)
			}
		}
	}
	return out
}

func (n *Node) countersOf(ctx context.Context, watcher membership.Member, service string) ([]Reading, error) {
	if watcher.ID == n.cfg.Self.ID {
		return n.readings.of(service, n.cfg.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := n.dialer.client(watcher.ControlAddr)
	if err != nil {
		return nil, err
	}
	reply, err := client.Counters(ctx, &peerpb.CountersRequest{Service: service})
	if err != nil {
		return nil, err
	}
	list := make([]Reading, 0, len(reply.GetReadings()))
	for _, p := range reply.GetReadings() {
		list = append(list, readingFromProto(p))
	}
	return list, nil
}
