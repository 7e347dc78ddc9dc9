package lease

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// resendDelay is the delay before a write whose response was lost is sent again.
const resendDelay = 20 * time.Millisecond

// Put writes o if its stored version is still o.Version, where 0 means absent. When a response is lost it sends the same
// write again: its condition lets it take effect at most once, and a conflict is resolved by reading back. It returns
// objectapi.ErrOutcomeUnknown when ctx ends first.
func Put(ctx context.Context, s objectapi.Store, o objectapi.Object) (objectapi.Object, error) {
	outcomeUnknown := false
	for {
		done, err := putOnce(ctx, s, o)
		switch {
		case err == nil:
			return done, nil
		case errors.Is(err, objectapi.ErrOutcomeUnknown):
			outcomeUnknown = true
		case errors.Is(err, objectapi.ErrConflict) && outcomeUnknown:
			return readBack(ctx, s, o)
		case outcomeUnknown && errors.Is(err, objectapi.ErrUnavailable):
		default:
			return o, trace.Wrap(err, "write %s/%s", o.Kind, o.Name)
		}
		if (SystemClock{}).Sleep(ctx, resendDelay) != nil {
			return o, trace.Wrap(objectapi.ErrOutcomeUnknown, "write %s/%s", o.Kind, o.Name)
		}
	}
}

func putOnce(ctx context.Context, s objectapi.Store, o objectapi.Object) (objectapi.Object, error) {
	if o.Version == 0 {
		return s.Create(ctx, o.Kind, o.Name, o.Value)
	}
	return s.Update(ctx, o)
}

func readBack(ctx context.Context, s objectapi.Store, o objectapi.Object) (objectapi.Object, error) {
	got, err := s.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return o, trace.Wrap(err, "read back %s/%s", o.Kind, o.Name)
	}
	if !bytes.Equal(got.Value, o.Value) {
		return o, trace.Wrap(objectapi.ErrConflict, "write %s/%s", o.Kind, o.Name)
	}
	return got, nil
}
