package roster

import "time"

// Times of the messages to a peer, and how many of them a process sends and hears. The numbers keep a process within 12 kB and 1%
// of a core a second whatever the size of the deployment: a message with UDP and IP is about 85 bytes and takes 20 us.
const (
	// MinInterval is the least time between two messages to a peer that is heard of.
	MinInterval = 250 * time.Millisecond
	// SilenceTimeout is how long a peer may be silent at least until it is taken for gone: quietMessages messages.
	SilenceTimeout = time.Second
	quietMessages  = 4
	// EagerTime is how long a peer that is new, or has just fallen silent, is spoken to every EagerInterval: processes that
	// were stopped together come back within a few seconds of each other, and everything waits until they have met.
	EagerTime     = 5 * time.Second
	EagerInterval = 50 * time.Millisecond
	// SilentInterval is the time between two messages to a peer that was silent for longer. It bounds how long a peer that
	// comes back at the same address, and has forgotten everything, waits until it is spoken to.
	SilentInterval = 500 * time.Millisecond
	// ExpireAfter is how long a silent peer is kept. Peers that come back after a longer cut are found by the object API.
	ExpireAfter = 2 * time.Minute
	// SendRate is the number of messages a second to peers that are heard of, all together, ReceiveRate the number that a
	// process asks its peers for. Load and liveness are also told with every answer, so that a report may be as old as the
	// number of peers makes it.
	SendRate    = 20
	ReceiveRate = 45
	// EagerRate and SilentRate are the numbers a second to peers that are spoken to eagerly, and to silent ones.
	EagerRate  = 1000
	SilentRate = 100
	// farFactor is how much rarer messages between data centres are than those within one, where these are more than farAfter apart: a
	// process is used by those of its own data centre before others.
	farFactor = 4
	farAfter  = time.Second
	// MaxInterval bounds what a peer says or asks for: 3,300 processes of other data centres are heard at a quarter of ReceiveRate.
	MaxInterval = 5 * time.Minute
	// steadySpread is the part of an interval by which messages of it may come earlier.
	steadySpread = 0.25
)
