package resource

import (
	"cmp"
	"fmt"
	"slices"
)

// holder is the service that holds an address.
type holder struct {
	name    string
	version uint64
}

// resolver decides which services can be accepted together.
type resolver struct {
	// held maps each address to the service that holds it.
	held map[AddressKey]holder
	// current maps a service's name to its configuration in force.
	current map[string]ServiceConfig
	// pending has the valid services that are not accepted yet, in order of precedence.
	pending []VersionedService
	// rejected has the services that are invalid or conflict with another.
	rejected []Rejected
}

// ValidateAll decides which services are accepted together, given the configurations in force. The result depends on
// the contents only, not on the order of list and inForce.
//
// An invalid service is rejected. An address belongs to the service that has it in force until that service is deleted
// or an accepted change releases the address; a free address goes to the service with the lowest object version, and
// among equal versions to the name that sorts first. A service that claims an address of another service is rejected
// with a reason that names the holder. The configuration in force of a rejected service remains in force.
func ValidateAll(list []VersionedService, inForce []ServiceConfig) Outcome {
	r := resolver{held: make(map[AddressKey]holder), current: make(map[string]ServiceConfig)}
	r.loadInForce(list, inForce)
	r.classify(list)
	r.accept()
	r.rejectPending()
	return r.outcome()
}

// loadInForce loads the configurations in force of the services that still exist.
func (r *resolver) loadInForce(list []VersionedService, inForce []ServiceConfig) {
	exists := make(map[string]bool, len(list))
	for _, s := range list {
		exists[s.Name] = true
	}
	for _, c := range inForce {
		if exists[c.Name] {
			r.putInForce(c)
		}
	}
}

// putInForce makes c the configuration in force of its service. It reports whether the service released an address.
func (r *resolver) putInForce(c ServiceConfig) bool {
	old := r.current[c.Name]
	r.current[c.Name] = c
	for _, a := range old.Spec.Addresses {
		if k, ok := a.Key(); ok && r.held[k].name == c.Name {
			delete(r.held, k)
		}
	}
	for _, a := range c.Spec.Addresses {
		k, ok := a.Key()
		if _, taken := r.held[k]; ok && !taken {
			r.held[k] = holder{name: c.Name, version: c.Version}
		}
	}
	return r.releasedAddress(old)
}

// releasedAddress reports whether an address of old is free now.
func (r *resolver) releasedAddress(old ServiceConfig) bool {
	for _, a := range old.Spec.Addresses {
		k, ok := a.Key()
		if _, taken := r.held[k]; ok && !taken {
			return true
		}
	}
	return false
}

// classify rejects unreadable and invalid services and sorts the others into pending.
func (r *resolver) classify(list []VersionedService) {
	for _, s := range list {
		if s.Unreadable != "" {
			r.reject(s, ReasonUnreadable, []FieldError{{Reason: s.Unreadable}})
			continue
		}
		if f := ValidateService(s.Service); len(f) > 0 {
			r.reject(s, ReasonInvalid, f)
			continue
		}
		r.pending = append(r.pending, s)
	}
	slices.SortFunc(r.pending, func(a, b VersionedService) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
}

func (r *resolver) reject(s VersionedService, reason ConditionReason, f []FieldError) {
	r.rejected = append(r.rejected, Rejected{Service: s, Reason: reason, Fields: f})
}

// accept accepts pending services in order of precedence. When a service releases an address, it starts over, so that
// the address goes to the service of the highest precedence.
func (r *resolver) accept() {
	accepted := make([]bool, len(r.pending))
	for i := 0; i < len(r.pending); i++ {
		s := r.pending[i]
		if accepted[i] || len(r.conflicts(s)) > 0 {
			continue
		}
		accepted[i] = true
		if r.putInForce(ServiceConfig{Name: s.Name, Version: s.Version, Spec: s.Spec}) {
			i = -1
		}
	}
	left := r.pending[:0]
	for i, s := range r.pending {
		if !accepted[i] {
			left = append(left, s)
		}
	}
	r.pending = left
}

// conflicts returns one mistake for each address of s that belongs to another service.
func (r *resolver) conflicts(s VersionedService) []FieldError {
	var e fieldErrors
	for i, a := range s.Spec.Addresses {
		k, ok := a.Key()
		if !ok {
			continue
		}
		if h, taken := r.held[k]; taken && h.name != s.Name {
			e.add(fmt.Sprintf("spec.addresses[%d]", i), "%s belongs to service %q (version %d)", k, h.name, h.version)
		}
	}
	return e
}

// rejectPending rejects the remaining services for their address conflicts.
func (r *resolver) rejectPending() {
	for _, s := range r.pending {
		r.reject(s, ReasonAddressConflict, r.conflicts(s))
	}
}

// outcome returns the sorted result.
func (r *resolver) outcome() Outcome {
	var o Outcome
	for _, c := range r.current {
		o.Services = append(o.Services, c)
	}
	for _, j := range r.rejected {
		if c, ok := r.current[j.Service.Name]; ok {
			j.Kept = &c
		}
		o.Rejected = append(o.Rejected, j)
	}
	slices.SortFunc(o.Services, func(a, b ServiceConfig) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Rejected, func(a, b Rejected) int { return cmp.Compare(a.Service.Name, b.Service.Name) })
	return o
}
