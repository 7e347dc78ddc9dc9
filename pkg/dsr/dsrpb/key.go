package dsrpb

import (
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// SetKey sets the ends of a flow, as seen from its caller.
func (m *Message) SetKey(key flow.Key) {
	m.Source = wire.AppendAddr(nil, key.Source)
	m.Destination = wire.AppendAddr(nil, key.Destination)
}

// Key returns the ends of a flow; false when the message names none.
func (m *Message) Key() (flow.Key, bool) { return keyOf(m.Source, m.Destination) }

// SetKey sets the ends of the flow that is asked about, as seen from its caller.
func (q *FlowQuery) SetKey(key flow.Key) {
	q.Source = wire.AppendAddr(nil, key.Source)
	q.Destination = wire.AppendAddr(nil, key.Destination)
}

// Key returns the ends of the flow that is asked about; false when the query names none.
func (q *FlowQuery) Key() (flow.Key, bool) { return keyOf(q.Source, q.Destination) }

func keyOf(from, to []byte) (flow.Key, bool) {
	source, ok := wire.Addr(from)
	if !ok {
		return flow.Key{}, false
	}
	destination, ok := wire.Addr(to)
	return flow.Key{Source: source, Destination: destination, Protocol: flow.ProtocolTCP}, ok
}
