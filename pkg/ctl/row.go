package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// ServiceRow is a service with its status, as get and watch show it.
type ServiceRow struct {
	// Name and Version identify the stored service.
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Spec is the stored specification; nil when it could not be decoded.
	Spec *resource.ServiceSpec `json:"spec,omitempty"`
	// Unreadable is why the stored value is not a service.
	Unreadable string `json:"unreadable,omitempty"`
	// Status is nil until the system has written one.
	Status *resource.ServiceStatus `json:"status,omitempty"`
}

// none is the placeholder for an unknown value in a table.
const none = "-"

// rowHead has the column titles of a ServiceRow.
var rowHead = []string{"SERVICE", "VERSION", "MODE", "ADDRESSES", "ACCEPTED", "IN FORCE", "ROLLOUT", "MESSAGE"}

// columns returns the table row of r.
func (r ServiceRow) columns() []string {
	mode, addresses := none, none
	if r.Spec != nil {
		mode = string(r.Spec.Mode)
		addresses = addressText(r.Spec.Addresses)
	}
	return []string{r.Name, strconv.FormatUint(r.Version, 10), mode, addresses, r.accepted(), r.inForce(), r.rollout(), r.message()}
}

// addressText returns the first address and the number of the others.
func addressText(list []resource.Address) string {
	if len(list) == 0 {
		return none
	}
	first := list[0].IP
	if k, ok := list[0].Key(); ok {
		first = k.String()
	}
	if len(list) == 1 {
		return first
	}
	return fmt.Sprintf("%s and %d more", first, len(list)-1)
}

// current reports whether the status covers the stored version.
func (r ServiceRow) current() bool {
	return r.Status != nil && r.Status.ObservedVersion >= r.Version
}

// accepted describes whether the stored version is accepted.
func (r ServiceRow) accepted() string {
	if !r.current() {
		return "pending"
	}
	c, ok := r.Status.Condition(resource.ConditionAccepted)
	if !ok {
		return "pending"
	}
	if c.Status == resource.StatusTrue {
		return fmt.Sprintf("yes, revision %d", r.Status.AcceptedRevision)
	}
	return "no, " + string(c.Reason)
}

// inForce describes on how many balancers the accepted version is in force.
func (r ServiceRow) inForce() string {
	if r.Status == nil || r.Status.AcceptedVersion == 0 {
		return none
	}
	if r.Status.AcceptedVersion != r.Version {
		return fmt.Sprintf("%s (version %d)", r.Status.InForce, r.Status.AcceptedVersion)
	}
	return r.Status.InForce.String()
}

// rollout describes the progress of the rollout.
func (r ServiceRow) rollout() string {
	if r.Status == nil || r.Status.Rollout == nil {
		return none
	}
	o := r.Status.Rollout
	return fmt.Sprintf("%s at %d%% %s", o.To, o.Weight, o.State)
}

// message returns the reasons why the service is not accepted or not in force.
func (r ServiceRow) message() string {
	if r.Unreadable != "" {
		return r.Unreadable
	}
	if r.Status == nil {
		return ""
	}
	var parts []string
	for _, c := range r.Status.Conditions {
		if c.Type != resource.ConditionRolloutProgressing && c.Status == resource.StatusFalse && c.Message != "" {
			parts = append(parts, c.Message)
		}
	}
	return strings.Join(parts, "; ")
}
