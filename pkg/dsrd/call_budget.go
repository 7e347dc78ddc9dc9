package dsrd

import (
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

// noRetries makes a store return the error of a failed read at once.
const noRetries = -1

// CallBudget is the budget for the calls of the object API that the daemons expect of Platform.Store and EvacuationStore.
// The daemons retry by themselves, at a rate that depends on their number.
func CallBudget(s settings.ObjectAPI, scope tally.Scope) objectapi.BudgetConfig {
	return objectapi.BudgetConfig{Rate: s.CallsPerSecond, Burst: s.Burst, MaxRetries: noRetries, Scope: scope}
}
