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
func (m *Message) Key() (flow.Key, bool) {
	source, ok := wire.Addr(m.Source)
	if !ok {
		return flow.Key{}, false
	}
	destination, ok := wire.Addr(m.Destination)
	return flow.Key{Source: source, Destination: destination, Protocol: flow.ProtocolTCP}, ok
}
