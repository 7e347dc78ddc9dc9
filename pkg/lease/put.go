package lease

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// resendAfter is the pause before a write whose answer was lost is sent again.
const resendAfter = 20 * time.Millisecond

// Put writes o when its stored version still is o.Version, where 0 means absent. When an answer is lost it sends the
// same write again: its condition lets it take effect once at most, and a conflict is settled by reading back.
func Put(ctx context.Context, s objectapi.Store, o objectapi.Object) (objectapi.Object, error) {
	unsure := false
	for {
		done, err := putOnce(ctx, s, o)
		switch {
		case err == nil:
			return done, nil
		case errors.Is(err, objectapi.ErrOutcomeUnknown):
			unsure = true
		case errors.Is(err, objectapi.ErrConflict) && unsure:
			return readBack(ctx, s, o)
		case unsure && errors.Is(err, objectapi.ErrUnavailable):
		default:
			return o, trace.Wrap(err, "write %s/%s", o.Kind, o.Name)
		}
		if (SystemClock{}).Sleep(ctx, resendAfter) != nil {
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
