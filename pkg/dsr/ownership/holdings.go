package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// maxStatedAddresses bounds the addresses in one statement, so that it fits a datagram beside the answers about
// dispatch.MaxQuestions flows. The flows of a target with more addresses are asked about one by one.
const maxStatedAddresses = 8

// addFlow adds a flow to the table.
func (t *Table) addFlow(key flow.Key, e *entry) {
	if t.flows[key] == nil {
		t.addresses[flow.AddrHash(key.Destination)]++
	}
	t.flows[key] = e
}

// removeFlow removes a flow from the table.
func (t *Table) removeFlow(key flow.Key) {
	if t.flows[key] == nil {
		return
	}
	delete(t.flows, key)
	address := flow.AddrHash(key.Destination)
	t.addresses[address]--
	if t.addresses[address] == 0 {
		delete(t.addresses, address)
	}
}

// holdings returns the addresses to which the target may hold flows, or nil when the agent does not know all flows of its
// target or there are too many addresses.
func (t *Table) holdings(now time.Time) *dsrpb.Holdings {
	if !t.knowsAllFlows(now) || len(t.addresses) > maxStatedAddresses {
		return nil
	}
	h := new(dsrpb.Holdings)
	for address := range t.addresses {
		h.Addresses = append(h.Addresses, address)
	}
	return h
}
