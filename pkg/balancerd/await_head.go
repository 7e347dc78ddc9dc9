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

// awaitHeadInterval is the polling interval of awaitHead.
const awaitHeadInterval = 50 * time.Millisecond

// awaitHead reads the head object and blocks until the adopted revision is at least the head's. Without a head object
// it returns at once. It returns an error when the head can't be read or ctx ends.
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
