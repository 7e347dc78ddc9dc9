package request

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// RunYes is the run state of a repeat whose work has run and whose response is no longer cached.
const RunYes refusal.Run = "yes"

// CompletedWork is the document for a repeat whose work has run and whose response is no longer cached. It is not a
// refusal.
type CompletedWork struct {
	// Title is a human-readable summary.
	Title  string `json:"title"`
	Ticket string `json:"ticket"`
	// Run is RunYes.
	Run refusal.Run `json:"run"`
	// Outcome is the HTTP status of the target's response.
	Outcome int `json:"outcome"`
}

// sendCompleted responds to a repeat whose work has run.
func (s *Server) sendCompleted(u *submission, status int) {
	body, err := json.Marshal(CompletedWork{Title: fmt.Sprintf("the work has run and was answered with %d", status),
		Ticket: u.ticket.String(), Run: RunYes, Outcome: status})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := u.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRun, string(RunYes))
	h.Set(HeaderReason, string(refusal.ReasonTicketSpent))
	u.w.WriteHeader(http.StatusConflict)
	_, _ = u.w.Write(body)
}
