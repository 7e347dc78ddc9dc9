package resource

import "time"

// DSRServiceState says whether a pass-through service is saturated.
type DSRServiceState string

// States of a pass-through service.
const (
	// DSRSaturated: new flows of some priorities are refused, or every ready target is at its connection limit.
	DSRSaturated DSRServiceState = "saturated"
	// DSREnded: the service was saturated and no longer is.
	DSREnded DSRServiceState = "ended"
)

// DSRServiceStatus is the state of a pass-through service that is or was saturated, written by the balancer that
// compares the configuration with the object API for all. Its figures are those at the time of the last change of state.
type DSRServiceStatus struct {
	State DSRServiceState `json:"state"`
	// SaturatedSince is when the last saturation began, Ended when it ended; zero while it lasts.
	SaturatedSince time.Time `json:"saturatedSince"`
	Ended          time.Time `json:"ended,omitzero"`
	// RefusedPriorities are the priorities of which new flows are refused, in ascending order.
	RefusedPriorities []int `json:"refusedPriorities,omitempty"`
	// CapacityPerSecond is the number of requests that the targets finish in a second, 0 when it is unknown. Demands are
	// the requests that are asked of them, by priority.
	CapacityPerSecond float64             `json:"capacityPerSecond,omitempty"`
	Demands           []DSRPriorityDemand `json:"demands,omitempty"`
	// TargetsReady is the number of targets that take new flows, TargetsAtConnectionLimit the number of those that hold as
	// many flows as the service allows.
	TargetsReady             int `json:"targetsReady"`
	TargetsAtConnectionLimit int `json:"targetsAtConnectionLimit,omitempty"`
	// FastestWorkMs and SlowestWorkMs are the least and the greatest time for a request among the ready targets, 0 when
	// none is known.
	FastestWorkMs float64 `json:"fastestWorkMs,omitempty"`
	SlowestWorkMs float64 `json:"slowestWorkMs,omitempty"`
	// Writer is the balancer that wrote the status, Written when.
	Writer  string    `json:"writer"`
	Written time.Time `json:"written"`
}

// DSRPriorityDemand is the demand of one priority; priority 0 is the highest.
type DSRPriorityDemand struct {
	Priority  int     `json:"priority"`
	PerSecond float64 `json:"perSecond"`
}

// Saturated reports whether the service is saturated.
func (s DSRServiceStatus) Saturated() bool { return s.State == DSRSaturated }
