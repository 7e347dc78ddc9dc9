package store

import (
	"context"
	"errors"
	"net/http"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Handler serves the store over HTTP. When an answer is lost, it aborts the connection, as a crashing store would.
func Handler(s objectapi.Store) http.Handler {
	return objectapi.Handler(abortingStore{s})
}

// abortingStore aborts the HTTP exchange without a response when a write fails with ErrOutcomeUnknown.
type abortingStore struct {
	objectapi.Store
}

// Era implements objectapi.EraSource.
func (c abortingStore) Era() uint64 { return objectapi.CurrentEra(c.Store) }

func (c abortingStore) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	o, err := c.Store.Create(ctx, kind, name, value)
	abortIfUnknown(err)
	return o, err
}

func (c abortingStore) Update(ctx context.Context, in objectapi.Object) (objectapi.Object, error) {
	o, err := c.Store.Update(ctx, in)
	abortIfUnknown(err)
	return o, err
}

func (c abortingStore) Delete(ctx context.Context, kind objectapi.Kind, name string, version uint64) error {
	err := c.Store.Delete(ctx, kind, name, version)
	abortIfUnknown(err)
	return err
}

// abortIfUnknown panics with http.ErrAbortHandler on ErrOutcomeUnknown; net/http then drops the connection without logging.
func abortIfUnknown(err error) {
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
}
