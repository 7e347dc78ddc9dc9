package agent

import (
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

type flowState uint8

const (
	// flowPlaced has a decision but no connection yet.
	flowPlaced flowState = iota
	// flowServed has a goroutine that ends it.
	flowServed
	// flowEnded is over; its last packets may still be sent.
	flowEnded
)

// openFlow is a flow that this agent owns.
type openFlow struct {
	hash    uint64
	key     flow.Key
	placed  time.Time
	mu      sync.Mutex
	state   flowState
	endedAt time.Time
	cut     func()
	silent  bool
	taught  taught
	// lingers reports whether the caller's connection still answers a repeated FIN; nil for a flow without one.
	lingers func() bool
}

// serve claims the flow for a goroutine that will end it; it returns false when there is one already. cut closes its
// connections at once and may be called more than once, from any goroutine.
func (f *openFlow) serve(cut func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != flowPlaced || f.silent {
		return false
	}
	f.state, f.cut = flowServed, cut
	return true
}

// abort cuts the flow's connections.
func (f *openFlow) abort() {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if cut != nil {
		cut()
	}
}

// end marks the flow as over; it returns false when it was already.
func (f *openFlow) end(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == flowEnded {
		return false
	}
	f.state, f.endedAt, f.cut = flowEnded, now, nil
	return true
}

// mayFinish reports whether the flow is over but its last packets may be sent.
func (f *openFlow) mayFinish() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state == flowEnded && !f.silent
}

// mayAnswer reports whether the flow is over and its connection still answers a FIN that the caller repeats because the
// last acknowledgement was lost.
func (f *openFlow) mayAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state == flowEnded && !f.silent && f.lingers != nil && f.lingers()
}

// linger sets how to find out whether the flow's connection still answers.
func (f *openFlow) linger(lingers func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lingers = lingers
}

// silence stops every packet of the flow, also after its end; it returns false when it was silent already.
func (f *openFlow) silence() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return false
	}
	f.silent = true
	return true
}

func (f *openFlow) view() (state flowState, endedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.endedAt
}
