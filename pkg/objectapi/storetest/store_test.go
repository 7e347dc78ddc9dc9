package storetest_test

import (
	"net/http/httptest"
	"testing"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/objectapi/storetest"
)

func memory(*testing.T) (objectapi.Store, storetest.Injector) {
	s := store.New(store.Config{})
	return s, store.NewInjector(s)
}

func overHTTP(t *testing.T) (objectapi.Store, storetest.Injector) {
	s := store.New(store.Config{})
	srv := httptest.NewServer(store.Handler(s))
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	return objectapi.NewClient(srv.URL, objectapi.Options{}), store.NewInjector(s)
}

// budgeted wraps a store in a Budgeted whose rate the suite cannot reach, to test that wrapping keeps the contract.
func budgeted(t *testing.T) (objectapi.Store, storetest.Injector) {
	s, in := overHTTP(t)
	return objectapi.NewBudgeted(s, objectapi.BudgetConfig{Rate: 1e6, Burst: 1e6}), in
}

func TestContract(t *testing.T) {
	for name, make := range map[string]func(*testing.T) (objectapi.Store, storetest.Injector){
		"Memory": memory, "HTTP": overHTTP, "Budgeted": budgeted,
	} {
		t.Run(name, func(t *testing.T) {
			storetest.Run(t, func(t *testing.T) objectapi.Store {
				s, _ := make(t)
				return s
			})
		})
		t.Run(name+"Faults", func(t *testing.T) { storetest.RunFaults(t, make) })
	}
}
