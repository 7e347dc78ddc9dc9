package balancerd

import (
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Call budget of the compile duty, calls a second and at once. A revision takes four calls and each changed service a
// status, so that the budget of an ordinary balancer would keep a change waiting for seconds. Only the holder of the
// lease spends it, so it is a small part of the several hundred writes a second that the fleet may make.
const (
	compileCallRate  = 60
	compileCallBurst = 60
)

// openStores makes the clients of the object API, each within its call budget.
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
