package roster

import "time"

// Intervals of the messages to a peer, and rates of messages that a process sends and receives. They keep a process
// within 12 kB/s and 1% of a core whatever the size of the deployment: a message with UDP and IP headers is about 85
// bytes and takes 20 us.
const (
	// MinInterval is the minimum time between two messages to a living peer.
	MinInterval = 250 * time.Millisecond
	// SilenceTimeout is the minimum time that a peer may be silent before it counts as lost: silentIntervals of
	// MinInterval.
	SilenceTimeout  = time.Second
	silentIntervals = 4
	// EagerTime is how long a peer that is new, or has just become silent, is sent a message every EagerInterval:
	// processes that were stopped together come back within a few seconds of each other, and traffic waits until they
	// have met.
	EagerTime     = 5 * time.Second
	EagerInterval = 50 * time.Millisecond
	// eagerMessages is the number of messages to a peer that was never seen after which their interval doubles.
	eagerMessages = 4
	// SilentInterval is the minimum time between two messages to a peer that has been silent for longer. It bounds how
	// long a peer that restarts at the same address without state waits for a message.
	SilentInterval = 500 * time.Millisecond
	// ExpireAfter is how long a silent peer is kept. Peers that come back after a longer partition are found through
	// the object API.
	ExpireAfter = 2 * time.Minute
	// SendRate is the number of messages per second to all living peers together, ReceiveRate the number that a process
	// asks its peers for. Load and liveness also come with every answer, so that periodic reports may be rare where
	// there are many peers.
	SendRate    = 20
	ReceiveRate = 45
	// EagerRate and SilentRate are the maximum numbers of messages per second to peers in EagerTime, and to silent
	// ones.
	EagerRate  = 1000
	SilentRate = 100
	// remoteFactor is how many times longer intervals between data centres are than those within one, where the latter
	// exceed remoteThreshold: a process is used by those of its own data centre before others.
	remoteFactor    = 4
	remoteThreshold = time.Second
	// MaxInterval bounds the intervals that a peer reports or requests: with it, the messages of 3,300 processes of
	// other data centres arrive at a quarter of ReceiveRate.
	MaxInterval = 5 * time.Minute
	// intervalJitter is the maximum fraction of an interval by which a message may be early.
	intervalJitter = 0.25
)
