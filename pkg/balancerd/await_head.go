package balancerd

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// awaitHeadInterval is the time between two looks at the adopted revision.
const awaitHeadInterval = 50 * time.Millisecond

// awaitHead returns once the adopted revision is at least the one that the head names now. It returns an error when the
// head can't be read or ctx ends.
func awaitHead(ctx context.Context, s objectapi.Store, adopted func() uint64) error {
	o, err := s.Get(ctx, resource.KindHead, resource.HeadName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err, "read head")
	}
	var head resource.Head
	if err := json.Unmarshal(o.Value, &head); err != nil {
		return trace.Wrap(err, "decode head")
	}
	t := time.NewTicker(awaitHeadInterval)
	defer t.Stop()
	for adopted() < head.Revision {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "adopt revision %d", head.Revision)
		case <-t.C:
		}
	}
	return nil
}
