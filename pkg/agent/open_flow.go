package agent

import (
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

type flowState uint8

const (
	// flowPlaced is accepted but has no connection yet.
	flowPlaced flowState = iota
	// flowServed has a goroutine that serves it and ends it.
	flowServed
	// flowEnded has ended; its last packets may still be sent.
	flowEnded
)

// openFlow is a flow that this agent owns.
type openFlow struct {
	hash     uint64
	key      flow.Key
	placed   time.Time
	mu       sync.Mutex
	state    flowState
	endedAt  time.Time
	cut      func()
	silent   bool
	notified notified
	// lingers reports whether the caller's connection still answers a retransmitted FIN; nil without a connection.
	lingers func() bool
}

// serve claims the flow for a goroutine that will end it; it returns false when the flow is not waiting for one or is
// silenced. cut closes the flow's connections immediately; it may be called more than once, from any goroutine.
func (f *openFlow) serve(cut func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != flowPlaced || f.silent {
		return false
	}
	f.state, f.cut = flowServed, cut
	return true
}

// abort closes the flow's connections immediately, if it is being served.
func (f *openFlow) abort() {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if cut != nil {
		cut()
	}
}

// end marks the flow as ended; it returns false when it had ended before.
func (f *openFlow) end(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == flowEnded {
		return false
	}
	f.state, f.endedAt, f.cut = flowEnded, now, nil
	return true
}

// mayFinish reports whether the flow has ended but its last packets may still be sent.
func (f *openFlow) mayFinish() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state == flowEnded && !f.silent
}

// mayAnswer reports whether the flow has ended but its connection still answers a FIN that the caller retransmits
// because the last acknowledgement was lost.
func (f *openFlow) mayAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state == flowEnded && !f.silent && f.lingers != nil && f.lingers()
}

// setLingers sets the function that reports whether the flow's connection still answers a retransmitted FIN.
func (f *openFlow) setLingers(lingers func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lingers = lingers
}

// silence suppresses every packet of the flow to its caller, also after its end; it returns false when it was silenced
// before.
func (f *openFlow) silence() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return false
	}
	f.silent = true
	return true
}

func (f *openFlow) status() (state flowState, endedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.endedAt
}
