package telemetry

import "sync/atomic"

// Status holds the function that describes a daemon's state for /status.
type Status struct {
	f atomic.Pointer[func() any]
}

// Set sets the function. It is called for each request, from any goroutine, and its result is encoded as JSON.
func (s *Status) Set(f func() any) {
	s.f.Store(&f)
}

// value returns the state, or nil before the first call of Set.
func (s *Status) value() any {
	f := s.f.Load()
	if f == nil {
		return nil
	}
	return (*f)()
}
