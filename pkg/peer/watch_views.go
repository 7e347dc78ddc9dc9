package peer

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// WatchViews builds a view whenever the members or the revision have changed and passes it to onView, until ctx ends.
// The first view is built once a revision is known.
func (n *Node) WatchViews(ctx context.Context, onView func(*view.View)) error {
	changes, cancel := n.table.Subscribe()
	defer cancel()
	revisions, stop := n.changes.subscribe()
	defer stop()
	var pace viewPace
	for {
		if r, ok := n.cfg.Adopter.Current(); ok {
			begin := n.cfg.Now()
			onView(view.Build(r, n.table.Members()))
			pace.record(begin, n.cfg.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-revisions:
		}
		_ = wait.For(ctx, pace.wait(n.cfg.Now()))
	}
}
