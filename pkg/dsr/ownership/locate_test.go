package ownership

import (
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// locate is a balancer's query for the owner of a flow.
func locate(key flow.Key) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:        dsrpb.Kind_KIND_LOCATE,
		Source:      wire.AppendAddr(nil, key.Source),
		Destination: wire.AppendAddr(nil, key.Destination),
	}
}
