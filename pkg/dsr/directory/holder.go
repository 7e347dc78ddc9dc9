package directory

import (
	"strings"
	"time"
)

// holder is one agent.
type holder struct {
	// service is that of the agent's target, "" until the agent was heard of.
	service string
	// former are the services of earlier targets at the address, with the time until which flows of theirs may be open.
	// A search for such a flow asks the agent, which answers for its target whatever its service. Of an agent that was only
	// loaded, all services are former ones.
	former map[string]time.Time
	// expires is when the agent is removed unless it is heard of.
	expires time.Time
}

// setService sets the service of the agent's target, as the agent has said, and reports whether that changes where flows
// may be held.
func (h *holder) setService(now time.Time, service string) bool {
	if h.service == service {
		return false
	}
	before := h.service
	// The name may refer to a receive buffer.
	h.service = strings.Clone(service)
	delete(h.former, service)
	if before != "" {
		h.addFormer(before, now.Add(MaxFlowAge))
	}
	h.limitFormer(now.Add(MaxFlowAge))
	return true
}

// addFormer notes that flows of another service may be open until a time, and reports whether the service is new.
func (h *holder) addFormer(service string, until time.Time) bool {
	if _, known := h.former[service]; known || service == h.service {
		return false
	}
	if h.former == nil {
		h.former = make(map[string]time.Time)
	}
	h.former[strings.Clone(service)] = until
	return true
}

// limitFormer makes all former services end by a time.
func (h *holder) limitFormer(until time.Time) {
	for service, end := range h.former {
		if end.After(until) {
			h.former[service] = until
		}
	}
}

// expireFormer removes the former services of which no flow can be open, and reports whether there were any.
func (h *holder) expireFormer(now time.Time) bool {
	expired := false
	for service, until := range h.former {
		if !now.Before(until) {
			delete(h.former, service)
			expired = true
		}
	}
	return expired
}

// mayHold reports whether a target at the agent may hold flows of a service.
func (h *holder) mayHold(service string) bool {
	_, former := h.former[service]
	return former || h.service == service
}
