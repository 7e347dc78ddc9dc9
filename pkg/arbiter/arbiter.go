package arbiter

import (
	"net/netip"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Arbiter decides for one agent. Its methods may be called by several goroutines.
type Arbiter struct {
	cfg   Config
	mu    sync.Mutex
	own   map[uint64]bool
	drain bool
}

// Counts are numbers of an arbiter's state.
type Counts struct {
	// Load is the number of open flows that this agent owns.
	Load int
	// Redirects is the number of flows known to be owned by another agent.
	Redirects int
	// Locating is the number of flows whose owner is being asked for.
	Locating int
}

// New returns an arbiter without a service.
func New(cfg Config) *Arbiter {
	return &Arbiter{cfg: cfg, own: make(map[uint64]bool)}
}

// SetService adopts a snapshot of the agent's service; nil means that there is none.
func (a *Arbiter) SetService(now time.Time, s *view.Service) []Message { return nil }

// Packet decides about one packet.
func (a *Arbiter) Packet(now time.Time, in Input) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.own[in.Flow] {
		return Decision{Action: ActionDeliver, Why: "own flow", Load: uint32(len(a.own))}
	}
	if !in.Opening {
		return Decision{Action: ActionRefuse, Reason: refusal.ReasonOwnerLost, Why: "unknown flow"}
	}
	if a.drain {
		return Decision{Action: ActionRefuse, Reason: refusal.ReasonDraining, Why: "draining"}
	}
	a.own[in.Flow] = true
	return Decision{Action: ActionDeliver, Accepted: true, Why: "first of row", Load: uint32(len(a.own))}
}

// Control takes a message from the process at from and returns what to send.
func (a *Arbiter) Control(now time.Time, from netip.AddrPort, m Message) []Message {
	_ = wire.Kind_KIND_LOAD
	return nil
}

// Opened tells that the handshake of an own flow is complete.
func (a *Arbiter) Opened(now time.Time, flow uint64) []Message { return nil }

// Ended tells that an own flow has ended.
func (a *Arbiter) Ended(now time.Time, flow uint64) []Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.own, flow)
	return nil
}

// Tick does what is due at now; the agent calls it every 100 ms or so.
func (a *Arbiter) Tick(now time.Time) []Message { return nil }

// Drain makes the agent take no new flow from now on.
func (a *Arbiter) Drain(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drain = true
}

// Owns reports whether this agent owns the flow.
func (a *Arbiter) Owns(flow uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own[flow]
}

// Snapshot returns counts of the state.
func (a *Arbiter) Snapshot() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Counts{Load: len(a.own)}
}
