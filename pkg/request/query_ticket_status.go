package request

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// queryTicketStatus asks a ticket's issuer for the ticket's status; false means that the status could not be obtained.
func (s *Server) queryTicketStatus(ctx context.Context, p Peer, t ticket.Ticket) (TicketStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	res, err := s.callPeer(ctx, p, http.MethodGet, ticketsPath+"/"+t.String(), hopCancel)
	if err != nil {
		return TicketStatus{}, false
	}
	defer res.Body.Close()
	relayed := readRelayed(res)
	var status TicketStatus
	if relayed.status != http.StatusOK || json.Unmarshal(relayed.body, &status) != nil {
		return TicketStatus{}, false
	}
	return status, true
}
