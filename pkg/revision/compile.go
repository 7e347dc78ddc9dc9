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
	// Services are all stored services, including unreadable ones.
	Services []resource.VersionedService
	// Rollouts are the states of the rollouts, by service.
	Rollouts map[string]resource.RolloutStatus
	// Evacuated are the data centres that accept no new flows, sorted.
	Evacuated []string
	// EraStart is a lower bound, exclusive, for the numbers of revisions in the object API's current era. It keeps them
	// above the revisions of earlier eras, of which the API may have lost the last; 0 when the API has no eras.
	EraStart uint64
	// Republish requests a new revision even without a change: the stored head does not name the previous revision.
	Republish bool
}

// Compiled is the result of Compile.
type Compiled struct {
	// Revision is the next revision, or the previous one when nothing changed.
	Revision resource.Revision
	// Changed is set when Revision is new.
	Changed bool
	// Results has one result for each service, in the order of the inputs.
	Results []Result
}

// Compile returns the revision that follows previous. A service that is invalid, or that claims an address of another
// service, keeps its configuration in force. A service whose specification did not change keeps its version, so that
// unchanged inputs give no new revision.
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
	out.Results = buildResults(in.Services, o.Rejected, old, out.Revision)
	return out
}

func byName(list []resource.ServiceConfig) map[string]resource.ServiceConfig {
	m := make(map[string]resource.ServiceConfig, len(list))
	for _, c := range list {
		m[c.Name] = c
	}
	return m
}

// shares returns the shares that a service's rollout has reached. The shares in force stay while the rollout's state is
// not known after an era change.
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

// sameSpec compares the JSON forms, in which empty and absent lists are equal.
func sameSpec(a, b resource.ServiceSpec) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
