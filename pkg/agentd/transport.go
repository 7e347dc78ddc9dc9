package agentd

import (
	"context"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// transport sends the agent's refusal records to balancers, which write them to the store.
type transport struct {
	session atomic.Pointer[peer.Session]
}

// Mirror implements refusal.Mirror.
func (t *transport) Mirror(ctx context.Context, records []refusal.Record) error {
	s := t.session.Load()
	if s == nil {
		return trace.ConnectionProblem(nil, "no control session yet")
	}
	b, err := refusal.EncodeRecords(records)
	if err != nil {
		return err
	}
	return s.Mirror(ctx, b)
}
