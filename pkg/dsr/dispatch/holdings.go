package dispatch

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// holdings is what an agent has said of all flows of its target at once.
type holdings struct {
	// question is the number of the newest question when the agent was asked: the answer is about every flow whose search had
	// begun by then.
	question uint32
	// incarnation is that of the agent that answered.
	incarnation uint64
	// known is set when the agent knows all flows of its target; addresses are the hashes of the addresses of these flows.
	known     bool
	addresses []uint32
}

// covers reports whether the answer is about a flow with the given question, and of the agent's current incarnation.
func (h *holdings) covers(question uint32, incarnation uint64) bool {
	return h.question != 0 && h.incarnation == incarnation && int32(h.question-question) >= 0
}

// contains reports whether the target may hold flows to an address.
func (h *holdings) contains(address uint32) bool { return slices.Contains(h.addresses, address) }

// recordHoldings records an agent's statement about all flows of its target, unless a later one has overtaken it.
func (a *agent) recordHoldings(m *dsrpb.Message) {
	if m.NewestQuestion == 0 || a.holdings.covers(m.NewestQuestion, a.incarnation) {
		return
	}
	a.holdings = holdings{question: m.NewestQuestion, incarnation: a.incarnation, known: m.Holdings != nil}
	if m.Holdings != nil {
		a.holdings.addresses = slices.Clone(m.Holdings.Addresses)
	}
}

// mayAskHoldings reports whether the agent may be asked for its statement. The answer to any question covers all flows whose
// searches had begun, so that a wave of lost flows takes one question in each interval.
func (a *agent) mayAskHoldings(now time.Time) bool {
	return now.Sub(a.lastQuestion) >= SlowRecheckInterval
}
