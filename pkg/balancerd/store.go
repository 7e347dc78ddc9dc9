package balancerd

import (
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

// newStore returns a client of the object API within the call budget of the settings.
func newStore(s settings.ObjectAPI, scope tally.Scope) objectapi.Store {
	client := objectapi.NewClient(s.URL, objectapi.Options{CallTimeout: s.Timeout.Duration()})
	return objectapi.NewBudgeted(client, objectapi.BudgetConfig{
		Rate:  s.CallsPerSecond,
		Burst: s.Burst,
		Scope: scope,
	})
}
