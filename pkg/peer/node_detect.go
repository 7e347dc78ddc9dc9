package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// RecordFailure records that the host of an agent refused a datagram. The agent is suspected immediately if this
// balancer watches it.
func (n *Node) RecordFailure(agent netip.AddrPort) {
	for _, m := range n.table.Members() {
		if m.PacketAddr == agent && m.Role == membership.RoleAgent && m.Live() {
			n.detector.RecordFailure(m.ID, m.Incarnation)
		}
	}
}

// detectLoop evaluates the watched members and removes expired state.
func (n *Node) detectLoop(ctx context.Context) error {
	ticker := time.NewTicker(detectInterval)
	defer ticker.Stop()
	expired := n.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := n.cfg.Now()
		n.detect(ctx, now)
		if now.Sub(expired) > expireInterval {
			expired = now
			n.table.Expire(now)
			n.acks.Retain(n.table.Balancers())
			n.readings.expire(now)
		}
	}
}

func (n *Node) detect(ctx context.Context, now time.Time) {
	decision := n.detector.Tick(now)
	n.metrics.cutOff.Update(boolGauge(decision.CutOff))
	for _, b := range decision.Ballots {
		n.sendBallot(ctx, b)
	}
	for _, m := range decision.Dead {
		if !n.table.Merge(m, now) {
			continue
		}
		n.metrics.deaths.Inc(1)
		n.cfg.Log.Warn().Str("op", "declare dead").Str("member", m.ID).Uint64("incarnation", m.Incarnation).
			Str("reason", "suspected by a majority of its watchers").Send()
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (n *Node) sendBallot(ctx context.Context, b membership.Ballot) {
	request := &peerpb.VoteRequest{
		Voter:       b.Vote.Voter,
		Member:      b.Vote.Member,
		Incarnation: b.Vote.Incarnation,
		Sequence:    b.Vote.Sequence,
		Withdrawn:   b.Vote.Withdrawn,
	}
	n.cfg.Log.Info().Str("op", "vote").Str("member", b.Vote.Member).Bool("withdrawn", b.Vote.Withdrawn).Send()
	for _, id := range b.To {
		to, ok := n.table.Get(id)
		if !ok || to.ControlAddr == "" {
			continue
		}
		n.metrics.votes.Inc(1)
		n.calls.Go(func() { n.sendVote(ctx, to, request) })
	}
}

func (n *Node) sendVote(ctx context.Context, to membership.Member, request *peerpb.VoteRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := n.dialer.client(to.ControlAddr)
	if err == nil {
		_, err = client.Vote(ctx, request)
	}
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("op", "vote").Str("peer", to.ID).Send()
	}
}
