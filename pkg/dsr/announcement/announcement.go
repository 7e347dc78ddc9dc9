// Package announcement holds the heartbeats and deregistrations that targets of a pass-through service send.
package announcement

import (
	"net/netip"
	"time"
)

// State is the state that a target reports.
type State uint8

const (
	Ready State = iota
	Draining
)

// Announcement is one heartbeat of a target.
type Announcement struct {
	// ID is the name of the target. A target may keep it across restarts.
	ID string
	// StartedMs is when the target's process started, in Unix milliseconds; 0 when the target does not report it. It
	// orders the incarnations of a target.
	StartedMs uint64
	Service   string
	// Address is where the target receives packets; it is invalid when the target does not report it.
	Address netip.AddrPort
	State   State
	// Slots is the number of requests that the target works on at once, Connections the number of flows that it
	// holds.
	Slots       int
	Connections int
	// WarmUp is the time until the target is warm.
	WarmUp time.Duration
	// Sequence rises with each announcement of one incarnation.
	Sequence uint64
}

// Deregistration announces that a target's process ends.
type Deregistration struct {
	ID string
	// StartedMs is the start of the process that ends, in Unix milliseconds; 0 when the target does not report it.
	StartedMs uint64
}
