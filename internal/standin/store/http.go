package store

import (
	"context"
	"errors"
	"net/http"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Handler serves the store by HTTP. Where an answer is lost, it cuts the connection, as a store that dies would.
func Handler(s objectapi.Store) http.Handler {
	return objectapi.Handler(cutting{s})
}

// cutting ends the HTTP exchange without an answer when the outcome of a write must stay unknown.
type cutting struct {
	objectapi.Store
}

// Era implements objectapi.EraSource.
func (c cutting) Era() uint64 { return objectapi.CurrentEra(c.Store) }

func (c cutting) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	o, err := c.Store.Create(ctx, kind, name, value)
	cut(err)
	return o, err
}

func (c cutting) Update(ctx context.Context, in objectapi.Object) (objectapi.Object, error) {
	o, err := c.Store.Update(ctx, in)
	cut(err)
	return o, err
}

func (c cutting) Delete(ctx context.Context, kind objectapi.Kind, name string, version uint64) error {
	err := c.Store.Delete(ctx, kind, name, version)
	cut(err)
	return err
}

// cut ends the exchange; net/http drops the connection on this panic value without a log line.
func cut(err error) {
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
}
