package requests

import "time"

// deadlineServices is the deadline of a request as a multiple of the mean service time.
const deadlineServices = 37.5

// pace is the time scale of a run. A busy machine needs a longer service time, since callers, agents and targets share
// its processors.
type pace struct {
	// service is the mean service time, deadline the time allowed for each request.
	service, deadline time.Duration
}

func newPace(service time.Duration) pace {
	return pace{service: service, deadline: time.Duration(deadlineServices * float64(service))}
}
