package store

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Faults are the faults in force; the zero value is a store without faults.
type Faults struct {
	// Outage refuses every call with ErrUnavailable and ends waiting watches.
	Outage bool
	// Latency is added before each call takes effect, plus a random duration below Jitter.
	Latency time.Duration
	Jitter  time.Duration
	// RatePerSecond refuses calls above this rate with ErrUnavailable, as status 429 does; 0 means no limit.
	RatePerSecond float64
	// LoseNext is the number of following writes that take effect but whose answers are lost.
	LoseNext int
	// LoseShare is the probability, 0 to 1, that the answer of any write is lost after it took effect.
	LoseShare float64
	// DropShare is the probability, 0 to 1, that a write is lost before it takes effect; the client gets the same error
	// as for a lost answer.
	DropShare float64
	// Duplicate is the number of earlier events that each watch repeats, in order, before the new ones.
	Duplicate int
	// HoldKinds delays the events of a kind by a duration, so that events of different kinds arrive out of order.
	HoldKinds map[objectapi.Kind]time.Duration
}
