// Package announcement holds what a target of a pass-through service says of itself.
package announcement

import (
	"net/netip"
	"time"
)

// State is what a target says of itself.
type State uint8

// States of a target.
const (
	Ready State = iota
	Draining
)

// Announcement is one heartbeat of a target.
type Announcement struct {
	// ID is the name of the target. A target may keep it when it starts again.
	ID string
	// StartedMs is when the target's process started, in Unix milliseconds; 0 when the target does not say. It orders the lives of
	// a target.
	StartedMs uint64
	Service   string
	// Address is where the target takes packets; it is invalid when the target does not say.
	Address netip.AddrPort
	State   State
	// Slots is the number of requests that the target works on at once, Connections the number of flows that it holds.
	Slots       int
	Connections int
	// WarmUp is how long the target stays slow after its start.
	WarmUp time.Duration
	// Sequence rises with each announcement of one life.
	Sequence uint64
}

// Deregistration is a target's word that its process ends.
type Deregistration struct {
	ID string
	// StartedMs is the start of the process that ends, in Unix milliseconds; 0 when the target does not say.
	StartedMs uint64
}
