package request

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/ticket"
)

// claim binds a caller's key to a ticket.
type claim struct {
	// object is the stored form; zero for a claim that is not stored yet.
	object objectapi.Object
	// ticket is the only ticket with which the key's work may run.
	ticket ticket.Ticket
	// attempt is the caller's attempt number when the claim was made; 0 when the caller doesn't count attempts.
	attempt uint64
}

func (c claim) encode() []byte {
	return []byte(c.ticket.String() + " " + strconv.FormatUint(c.attempt, 10))
}

// decodeClaim parses a stored claim; it returns errClaimMalformed for one that can't be parsed.
func decodeClaim(o objectapi.Object) (claim, error) {
	text, count, _ := strings.Cut(string(o.Value), " ")
	t, err := ticket.Parse(text)
	if err != nil {
		return claim{}, trace.Wrap(errClaimMalformed, "claim %s", o.Name)
	}
	attempt, err := strconv.ParseUint(count, 10, 31)
	if err != nil {
		return claim{}, trace.Wrap(errClaimMalformed, "claim %s", o.Name)
	}
	return claim{object: o, ticket: t, attempt: attempt}, nil
}
