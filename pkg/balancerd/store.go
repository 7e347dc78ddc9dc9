package balancerd

import (
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Call budget of the compile duty: calls per second, and burst. A revision takes four calls, plus a status write for
// each changed service, so the budget of an ordinary balancer would delay a change by seconds. Only the holder of the
// lease uses it, so it is a small part of the several hundred writes per second available to the fleet.
const (
	compileCallRate  = 60
	compileCallBurst = 60
)

// openStores creates the object API clients, each with its own call budget.
func (d *Daemon) openStores() {
	s := d.o.Settings.ObjectAPI
	api := d.o.Store
	if api != nil {
		d.store, d.compileStore = d.o.WrapStore(api), d.o.WrapStore(api)
		return
	}
	api = objectapi.NewClient(s.URL, objectapi.Options{CallTimeout: s.Timeout.Duration(), Eras: d.eras})
	d.store = d.o.WrapStore(budgeted(api, s.CallsPerSecond, s.Burst, d.o.Env.Scope))
	rate, burst := max(s.CallsPerSecond, compileCallRate), max(s.Burst, compileCallBurst)
	d.compileStore = d.o.WrapStore(budgeted(api, rate, burst, d.o.Env.Scope))
}

func budgeted(api objectapi.Store, rate float64, burst int, scope tally.Scope) objectapi.Store {
	return objectapi.NewBudgeted(api, objectapi.BudgetConfig{Rate: rate, Burst: burst, Scope: scope})
}
