package request

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// ticketBook is the authoritative state of this agent's tickets; *ticket.Book implements it.
type ticketBook interface {
	Issue(now time.Time, n int) ([]ticket.Ticket, error)
	Spend(now time.Time, t ticket.Ticket, fingerprint uint64) ticket.Result
	Look(now time.Time, t ticket.Ticket) ticket.Result
	Start(t ticket.Ticket) bool
	Return(t ticket.Ticket) bool
	Finish(t ticket.Ticket, status int) bool
	Lose(t ticket.Ticket) bool
	Withdraw(now time.Time, t ticket.Ticket) bool
	Cancel(now time.Time, t ticket.Ticket) ticket.State
	Size() int
}
