package lease

import (
	"context"
	"errors"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// CreateIdempotent creates an object. An existing object with the same value, as after a lost response, is a success;
// one with another value gives objectapi.ErrConflict.
func CreateIdempotent(ctx context.Context, s objectapi.Store, kind objectapi.Kind, name string, value []byte) error {
	o := objectapi.Object{Kind: kind, Name: name, Value: value}
	_, err := Put(ctx, s, o)
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	_, err = readBack(ctx, s, o)
	return err
}
