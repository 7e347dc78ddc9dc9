package agentd

import (
	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Announcement is a target's description of itself, which it sends to the agent beside it.
type Announcement struct {
	// Service is the service name that the target serves; a DNS label.
	Service string `json:"service"`
	// Version is the version of the target's program; may be empty.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that the target runs concurrently; at least 1.
	Slots uint32 `json:"slots"`
	// Connections is the highest number of open connections; at least 1.
	Connections uint32 `json:"connections"`
	// Weight is the target's capacity relative to the service's other targets; 0 means Slots.
	Weight uint32 `json:"weight,omitempty"`
}

// Check returns an error that lists all invalid fields.
func (a Announcement) Check() error {
	var errs []error
	if !resource.IsName(a.Service) {
		errs = append(errs, trace.BadParameter("service %q is not a DNS label", a.Service))
	}
	if a.Slots == 0 {
		errs = append(errs, trace.BadParameter("slots must be at least 1"))
	}
	if a.Connections == 0 {
		errs = append(errs, trace.BadParameter("connections must be at least 1"))
	}
	return trace.NewAggregate(errs...)
}
