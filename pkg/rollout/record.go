package rollout

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Kind is the kind of the objects that hold the state of a rollout; their names are the services' names.
const Kind = resource.KindRollout

// Record is the content of a rollout object, written under the rollout lease.
type Record struct {
	resource.RolloutStatus
	// Past holds the counts of the steps that were passed.
	Past []StepCounts `json:"past,omitempty"`
	// Era is the era of the object API in which the state was written. In a later era the last steps may be lost.
	Era uint64 `json:"era,omitempty"`
	// Holder is the lease holder that wrote the record.
	Holder string `json:"holder"`
	// Term is the lease term under which the record was written.
	Term uint64 `json:"term"`
}

// Grant implements lease.Stamp.
func (r *Record) Grant() lease.Grant { return lease.Grant{Holder: r.Holder, Term: r.Term} }

// SetGrant implements lease.Stamp.
func (r *Record) SetGrant(g lease.Grant) {
	r.Holder = g.Holder
	r.Term = g.Term
}

// ReadStates returns the states of stored rollout objects by service, without those written before an era. It returns
// the readable ones and an error that names the others.
func ReadStates(list []objectapi.Object, era uint64) (map[string]resource.RolloutStatus, error) {
	out := make(map[string]resource.RolloutStatus, len(list))
	var bad []error
	for _, o := range list {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			bad = append(bad, trace.Wrap(err, "decode rollout %s", o.Name))
			continue
		}
		if r.Era >= era {
			out[o.Name] = r.RolloutStatus
		}
	}
	return out, trace.NewAggregate(bad...)
}
