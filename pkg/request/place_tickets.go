package request

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// issueTimeout bounds calls to a peer that issue tickets or query their status. Tickets that a peer doesn't issue in
// time are issued by this agent.
const issueTimeout = 300 * time.Millisecond

// ticketShare is the number of tickets that one agent is to issue.
type ticketShare struct {
	// peer is nil for this agent.
	peer  *Peer
	ratio float64
	slots float64
	count int
}

// placeTickets issues tickets at the agents with the lowest ratio of work to slots.
func (s *Server) placeTickets(ctx context.Context, n int) []ticket.Ticket {
	shares := s.shareTickets(n)
	results := make([][]ticket.Ticket, len(shares))
	var g errgroup.Group
	for i, share := range shares {
		if share.count == 0 {
			continue
		}
		g.Go(func() error {
			results[i] = s.issueAt(ctx, share)
			return nil
		})
	}
	_ = g.Wait() // never returns an error
	var all []ticket.Ticket
	for _, part := range results {
		all = append(all, part...)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// shareTickets distributes n tickets, each to the agent with the lowest ratio of work to slots. A peer of unknown load
// is given the load of this agent.
func (s *Server) shareTickets(n int) []ticketShare {
	now := s.o.Now()
	own := peerLoad{load: s.Load()}
	var shares []ticketShare
	if !s.draining.Load() {
		shares = append(shares, ticketShare{ratio: own.ratio(), slots: float64(max(own.load.Limit, 1))})
	}
	for _, p := range samplePeers(s.o.Peers.Candidates()) {
		l, fresh := s.loads.fresh(now, p.Agent)
		if !fresh {
			l = own
		}
		shares = append(shares, ticketShare{peer: &p, ratio: l.ratio(), slots: float64(max(l.load.Limit, 1))})
	}
	rand.Shuffle(len(shares), func(i, j int) { shares[i], shares[j] = shares[j], shares[i] })
	for range n {
		if best := leastLoaded(shares); best != nil {
			best.count++
			best.ratio += 1 / best.slots
		}
	}
	return shares
}

func leastLoaded(shares []ticketShare) *ticketShare {
	var best *ticketShare
	for i := range shares {
		if best == nil || shares[i].ratio < best.ratio {
			best = &shares[i]
		}
	}
	return best
}

func (s *Server) issueAt(ctx context.Context, share ticketShare) []ticket.Ticket {
	if share.peer == nil {
		return s.issue(share.count)
	}
	tickets := s.issueAtPeer(ctx, *share.peer, share.count)
	if len(tickets) == 0 {
		return s.issue(share.count)
	}
	return tickets
}

func (s *Server) issueAtPeer(ctx context.Context, p Peer, n int) []ticket.Ticket {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	res, err := s.callPeer(ctx, p, http.MethodPost, ticketsPath+"?n="+strconv.Itoa(n), hopIssue)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var list TicketList
	relayed := readRelayed(res)
	if res.StatusCode != http.StatusOK || json.Unmarshal(relayed.body, &list) != nil {
		return nil
	}
	var tickets []ticket.Ticket
	for _, text := range list.Tickets {
		if t, err := ticket.Parse(text); err == nil {
			tickets = append(tickets, t)
		}
	}
	return tickets
}
