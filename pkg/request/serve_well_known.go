package request

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

const (
	ticketsPath = wellKnown + "tickets"
	// maxTickets is the maximum number of tickets per call.
	maxTickets = 64
)

// serveWellKnown serves the endpoints for callers.
func (s *Server) serveWellKnown(w http.ResponseWriter, r *http.Request) {
	if text, ok := strings.CutPrefix(r.URL.Path, ticketsPath+"/"); ok {
		s.serveTicketStatus(w, r, text, false)
		return
	}
	if r.URL.Path != ticketsPath || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	n, f := ticketCount(r)
	if f != nil {
		s.refuse(w, r, f)
		return
	}
	if wait, ok := s.rates.allow(s.o.Now(), callerOf(r.Context()).Source.Addr(), n); !ok {
		s.refuse(w, r, tooManyTickets(wait))
		return
	}
	s.sendTickets(w, r, s.placeTickets(r.Context(), n))
}

// serveHopWellKnown serves the same endpoints for another agent, from this agent's own state only.
func (s *Server) serveHopWellKnown(w http.ResponseWriter, r *http.Request, kind hopKind) {
	if text, ok := strings.CutPrefix(r.URL.Path, ticketsPath+"/"); ok && kind == hopCancel {
		s.serveTicketStatus(w, r, text, true)
		return
	}
	n, f := ticketCount(r)
	if f != nil || kind != hopIssue {
		s.refuse(w, r, malformed("unknown hop kind"))
		return
	}
	s.sendTickets(w, r, s.issue(n))
}

func ticketCount(r *http.Request) (int, *Refusal) {
	text := r.URL.Query().Get("n")
	if text == "" {
		return 1, nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n == 0 || n > maxTickets {
		return 0, malformed("n must be a whole number from 1 to " + strconv.Itoa(maxTickets))
	}
	return int(n), nil
}

// issue issues tickets of this agent; none when the ticket book is full or the server drains.
func (s *Server) issue(n int) []ticket.Ticket {
	if s.draining.Load() {
		return nil
	}
	tickets, err := s.book.Issue(s.o.Now(), n)
	if err != nil {
		return nil
	}
	return tickets
}

func (s *Server) sendTickets(w http.ResponseWriter, r *http.Request, tickets []ticket.Ticket) {
	if len(tickets) == 0 {
		s.refuse(w, r, ticketBookFull())
		return
	}
	list := TicketList{Expires: tickets[0].Expiry}
	for _, t := range tickets {
		list.Tickets = append(list.Tickets, t.String())
		if t.Expiry.Before(list.Expires) {
			list.Expires = t.Expiry
		}
	}
	sendJSON(w, list)
}

// serveTicketStatus responds with the status of a ticket; DELETE cancels the ticket first.
func (s *Server) serveTicketStatus(w http.ResponseWriter, r *http.Request, text string, hop bool) {
	t, err := ticket.Parse(text)
	if err != nil {
		s.refuse(w, r, malformed(err.Error()))
		return
	}
	if r.Method != http.MethodDelete && r.Method != http.MethodGet {
		http.Error(w, "GET or DELETE", http.StatusMethodNotAllowed)
		return
	}
	if t.Issuer != s.o.Agent && !hop {
		s.passTicketStatus(w, r, t)
		return
	}
	if t.Issuer != s.o.Agent || t.Incarnation != s.o.Incarnation {
		f := issuerUnavailable("", "the issuing agent was restarted")
		f.Request = t.ID()
		s.refuse(w, r, f)
		return
	}
	if r.Method == http.MethodDelete {
		s.cancelTicket(t)
	}
	sendJSON(w, s.ticketStatus(t))
}

// cancelTicket makes the ticket unusable, or cancels its request to the target when the work has started.
func (s *Server) cancelTicket(t ticket.Ticket) {
	if s.book.Cancel(s.o.Now(), t) == ticket.StateRunning {
		s.inflightTable.cancel(t.Sequence)
	}
	s.inflightTable.wakeCancelled(t.Sequence)
}

func (s *Server) ticketStatus(t ticket.Ticket) TicketStatus {
	now := s.o.Now()
	res := s.book.Look(now, t)
	status := TicketStatus{Ticket: t.String(), State: res.State.String(), Run: refusal.RunUnknown}
	if res.State.NeverRuns() {
		status.Run = refusal.RunNo
	}
	if res.State == ticket.StateCancelled {
		status.EndedMS = now.Sub(res.Ended).Milliseconds()
	}
	if res.State == ticket.StateRan {
		status.Run = RunYes
		status.Outcome = res.Status
	}
	return status
}

// passTicketStatus forwards the request to the ticket's issuer.
func (s *Server) passTicketStatus(w http.ResponseWriter, r *http.Request, t ticket.Ticket) {
	f := issuerUnavailable("", "the issuing agent can't be reached")
	f.Request = t.ID()
	p, ok := s.o.Peers.Find(t.Issuer)
	if !ok {
		s.refuse(w, r, f)
		return
	}
	res, err := s.callPeer(r.Context(), p, r.Method, r.URL.Path, hopCancel)
	if err != nil {
		s.refuse(w, r, f)
		return
	}
	defer res.Body.Close()
	readRelayed(res).send(w)
}

// callPeer calls an endpoint of another agent and stores the load in the response.
func (s *Server) callPeer(ctx context.Context, p Peer, method, path string, kind hopKind) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Control.String()+path, nil)
	if err != nil {
		return nil, err
	}
	s.setHopHeaders(req.Header, ctx, kind, 1)
	res, err := s.peers.RoundTrip(req)
	if err != nil {
		s.loads.markUnreachable(s.o.Now(), p.Agent)
		return nil, err
	}
	s.updateLoad(p, res)
	return res, nil
}

func sendJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
