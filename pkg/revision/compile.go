package revision

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// Inputs are the stored objects that a revision is compiled from.
type Inputs struct {
	// Services are all stored services, unreadable ones included.
	Services []resource.VersionedService
	// Rollouts are the states of the rollouts, by service.
	Rollouts map[string]resource.RolloutStatus
	// Evacuated are the data centres that take no new work, sorted.
	Evacuated []string
	// EraStart is the number below all revisions of the object API's era, so that they are above those of earlier eras, of which the API may have lost
	// the last; 0 when it names none, and nothing is lost.
	EraStart uint64
	// Republish asks for a new revision although nothing changed: the head in the object API names another one than the previous.
	Republish bool
}

// Compiled is the result of Compile.
type Compiled struct {
	// Revision is the next revision, or the previous one when nothing changed.
	Revision resource.Revision
	// Changed says that Revision is new.
	Changed bool
	// Results hold the judgement on each service, in the order of the inputs.
	Results []Result
}

// Compile returns the revision that follows previous. A service that is not valid, or claims an address of another,
// keeps its configuration in force. A service whose specification did not change keeps its version, so that inputs
// without a difference give no new revision.
func Compile(previous resource.Revision, in Inputs) Compiled {
	o := resource.ValidateAll(in.Services, previous.Services)
	configs := make([]resource.ServiceConfig, 0, len(o.Services))
	old := byName(previous.Services)
	changed := len(o.Services) != len(previous.Services) || in.Republish
	next := max(previous.Number, in.EraStart) + 1
	for _, c := range o.Services {
		was, ok := old[c.Name]
		c.Spec.Shares = in.shares(c, was)
		c.Spec.Evacuated = in.Evacuated
		if ok && sameSpec(was.Spec, c.Spec) {
			configs = append(configs, was)
			continue
		}
		changed = true
		configs = append(configs, c)
	}
	out := Compiled{Revision: previous, Changed: changed}
	if changed {
		out.Revision = resource.Revision{Number: next, Services: configs}
	}
	out.Results = judge(in.Services, o.Rejected, old, out.Revision)
	return out
}

func byName(list []resource.ServiceConfig) map[string]resource.ServiceConfig {
	m := make(map[string]resource.ServiceConfig, len(list))
	for _, c := range list {
		m[c.Name] = c
	}
	return m
}

// shares returns the shares that a service's rollout has reached. While the rollout's state is not known in a later era, the shares in force stay.
func (in Inputs) shares(c, inForce resource.ServiceConfig) []resource.Share {
	r := c.Spec.Rollout
	if r == nil {
		return c.Spec.Shares
	}
	state, known := in.Rollouts[c.Name]
	if known {
		return rollout.Shares(c.Spec, state)
	}
	if was := inForce.Spec.Rollout; in.EraStart > 0 && was != nil && was.From == r.From && was.To == r.To {
		return inForce.Spec.Shares
	}
	return rollout.Shares(c.Spec, rollout.Initial(*r))
}

// sameSpec compares the stored forms, in which empty and absent lists are equal.
func sameSpec(a, b resource.ServiceSpec) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
