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
	changed := len(o.Services) != len(previous.Services)
	next := previous.Number + 1
	for _, c := range o.Services {
		c.Spec = withShares(c, in.Rollouts)
		c.Spec.Evacuated = in.Evacuated
		was, ok := old[c.Name]
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

// withShares returns the specification with the shares that the rollout has reached.
func withShares(c resource.ServiceConfig, states map[string]resource.RolloutStatus) resource.ServiceSpec {
	s := c.Spec
	if s.Rollout == nil {
		return s
	}
	state, ok := states[c.Name]
	if !ok {
		state = rollout.Initial(*s.Rollout)
	}
	s.Shares = rollout.Shares(s, state)
	return s
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
