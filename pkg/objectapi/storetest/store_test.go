package storetest_test

import (
	"net/http/httptest"
	"testing"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/objectapi/storetest"
)

func TestMemory(t *testing.T) {
	storetest.Run(t, func(*testing.T) objectapi.Store { return store.New(store.Config{}) })
}

func TestHTTP(t *testing.T) {
	storetest.Run(t, func(t *testing.T) objectapi.Store {
		srv := httptest.NewServer(objectapi.Handler(store.New(store.Config{})))
		t.Cleanup(srv.Close)
		return objectapi.NewClient(srv.URL, objectapi.Options{})
	})
}
