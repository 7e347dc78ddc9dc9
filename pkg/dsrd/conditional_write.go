package dsrd

import (
	"context"
	"errors"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// createOrUpdate creates an object, if its version is 0, or replaces that version of it.
func createOrUpdate(ctx context.Context, s objectapi.Store, o objectapi.Object) (objectapi.Object, error) {
	if o.Version == 0 {
		return s.Create(ctx, o.Kind, o.Name, o.Value)
	}
	return s.Update(ctx, o)
}

// writeResult is the tag of a write's result.
func writeResult(err error) string {
	switch {
	case err == nil:
		return "written"
	case errors.Is(err, objectapi.ErrConflict):
		return "conflict"
	}
	return "failed"
}
