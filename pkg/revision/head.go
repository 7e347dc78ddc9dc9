package revision

import (
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// stampedHead is the head as a fenced object.
type stampedHead struct {
	resource.Head
}

type fencedHead = lease.Fenced[stampedHead, *stampedHead]

// Grant implements lease.Stamp.
func (h *stampedHead) Grant() lease.Grant {
	return lease.Grant{Holder: h.Holder, Term: h.Term}
}

// SetGrant implements lease.Stamp.
func (h *stampedHead) SetGrant(g lease.Grant) {
	h.Holder = g.Holder
	h.Term = g.Term
}
