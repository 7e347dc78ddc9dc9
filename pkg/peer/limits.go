package peer

import "time"

// Times of the control calls.
const (
	// callTimeout bounds a call to a peer.
	callTimeout = 2 * time.Second
	// streamRetry is the first pause before a broken stream is opened again; it doubles up to streamRetryMax.
	streamRetry    = 100 * time.Millisecond
	streamRetryMax = 2 * time.Second
	// DefaultExchangeInterval is the time between two rounds of exchange.
	DefaultExchangeInterval = 500 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats to a watcher.
	DefaultHeartbeatInterval = time.Second
	// DefaultJoinTime is how long an agent stays joining.
	DefaultJoinTime = time.Second
	// detectInterval is the time between two judgements of the watched members.
	detectInterval = 250 * time.Millisecond
	// pushBatchDelay is how long changes are gathered before they are sent.
	pushBatchDelay = 50 * time.Millisecond
	// overdrawnFactor stretches the time between exchanges, and between pushes, while the byte budget is overdrawn.
	overdrawnFactor = 4
	// watchBatchDelay is how long changes are gathered before they are sent to an agent.
	watchBatchDelay = 100 * time.Millisecond
	// ackInterval is the shortest time between two answers with all acknowledgements.
	ackInterval = time.Second
	// ackBatchDelay is how long acknowledgements are gathered before they are passed on.
	ackBatchDelay = 100 * time.Millisecond
	// readingRetention is how long the counters of an agent are kept after its last heartbeat. It is longer than the time
	// between two readings of the rollout duty, so that the last counts of an agent that ends are not lost.
	readingRetention = 2 * time.Minute
	// expireInterval is the time between two removals of old tombstones.
	expireInterval = time.Minute
	// keepaliveTime is the time without traffic after which a connection is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long an answer to a probe may take.
	keepaliveTimeout = 3 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
)

// Sizes and numbers of the control calls.
const (
	// exchangeFanOut is the number of neighbours compared with in each round.
	exchangeFanOut = 2
	// pushFanOut is the number of neighbours that a change is passed on to.
	pushFanOut = 3
	// maxPushBytes bounds the records of one push; what doesn't fit is left to the exchange.
	maxPushBytes = 16 << 10
	// maxCompareBytes bounds the records and the summaries of one comparison.
	maxCompareBytes = 8 << 10
	// maxJoinBytes bounds the records that a newcomer takes in one call.
	maxJoinBytes = 256 << 10
	// maxJoinCalls is the number of such calls that a newcomer makes before it goes on within the byte budget.
	maxJoinCalls = 16
	// maxMessageBytes bounds a control message.
	maxMessageBytes = 8 << 20
	// maxConcurrentCounterCalls is the number of watchers that are asked for counters at once.
	maxConcurrentCounterCalls = 16
	// peersInReply is the number of balancers named in the answer to an announcement.
	peersInReply = 5
	// connBuffer is the size of a connection's read and write buffers, in bytes.
	connBuffer = 4 << 10
	// compressAbove is the size of a message above which it is compressed, in bytes.
	compressAbove = 4 << 10
	// lostPeerOdds is the inverse of the probability that a round also asks a balancer that is held for dead, so that
	// sides that were split for long find each other again.
	lostPeerOdds = 10
)
