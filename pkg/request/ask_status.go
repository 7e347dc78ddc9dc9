package request

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// askStatus asks another agent for the state of its ticket; false means that it could not tell.
func (s *Server) askStatus(ctx context.Context, p Peer, t ticket.Ticket) (TicketStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	res, err := s.askPeer(ctx, p, http.MethodGet, ticketsPath+"/"+t.String(), hopCancel)
	if err != nil {
		return TicketStatus{}, false
	}
	defer res.Body.Close()
	answer := readAnswer(res)
	var status TicketStatus
	if answer.status != http.StatusOK || json.Unmarshal(answer.body, &status) != nil {
		return TicketStatus{}, false
	}
	return status, true
}
