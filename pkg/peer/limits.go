package peer

import "time"

// Durations of the control calls.
const (
	// callTimeout is the timeout of a call to a peer.
	callTimeout = 2 * time.Second
	// settleTime is how long no balancer may have joined until a node that has just started takes the known ones for all:
	// the call by which one joins has ended by then. maxSettleTime is the age from which a node does so anyway.
	settleTime    = callTimeout
	maxSettleTime = 5 * callTimeout
	// streamRetry is the initial backoff before a broken stream is opened again; it doubles up to streamRetryMax.
	streamRetry    = 100 * time.Millisecond
	streamRetryMax = 2 * time.Second
	// DefaultExchangeInterval is the default time between two rounds of exchange.
	DefaultExchangeInterval = 500 * time.Millisecond
	// DefaultHeartbeatInterval is the default time between two heartbeats to a watcher.
	DefaultHeartbeatInterval = time.Second
	// DefaultJoinTime is the default minimum time that an agent stays in the state joining.
	DefaultJoinTime = time.Second
	// detectInterval is the time between two evaluations of the watched members.
	detectInterval = 250 * time.Millisecond
	// pushBatchDelay is how long changes are collected before they are pushed to neighbours.
	pushBatchDelay = 50 * time.Millisecond
	// overdrawnFactor multiplies the delays of exchanges and pushes while the byte budget is overdrawn.
	overdrawnFactor = 4
	// watchBatchDelay is how long changes are collected before they are sent to an agent.
	watchBatchDelay = 100 * time.Millisecond
	// ackInterval is the minimum time between two replies with all acknowledgements.
	ackInterval = time.Second
	// ackBatchDelay is how long acknowledgements are collected before they are pushed to neighbours.
	ackBatchDelay = 100 * time.Millisecond
	// readingRetention is how long the counters of an agent are kept after its last heartbeat. It is longer than the
	// interval at which the rollout duty reads them, so that the last counters of an agent that ends aren't lost.
	readingRetention = 2 * time.Minute
	// expireInterval is the time between two removals of expired tombstones, acknowledgements and counters.
	expireInterval = time.Minute
	// keepaliveTime is the time without traffic after which a connection is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long the reply to a probe may take.
	keepaliveTimeout = 3 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
)

// Sizes and counts of the control calls.
const (
	// exchangeFanOut is the number of neighbours per round of exchange.
	exchangeFanOut = 2
	// pushFanOut is the number of neighbours to which a change is pushed.
	pushFanOut = 3
	// maxPushBytes is the maximum size of the records of one push; records that don't fit are left to the exchange.
	maxPushBytes = 16 << 10
	// maxCompareBytes is the maximum size of the records, and of the summaries, of one call of an exchange.
	maxCompareBytes = 8 << 10
	// maxJoinBytes is the same limit for a joining balancer.
	maxJoinBytes = 256 << 10
	// maxJoinCalls is the maximum number of exchanges with that limit, after the first, that a joining balancer makes.
	maxJoinCalls = 16
	// maxMessageBytes is the maximum size of a received control message.
	maxMessageBytes = 8 << 20
	// maxConcurrentCounterCalls is the number of watchers whose counters are requested concurrently.
	maxConcurrentCounterCalls = 16
	// peersInReply is the maximum number of balancers in the reply to an announcement.
	peersInReply = 5
	// connBuffer is the size in bytes of a connection's read and write buffers.
	connBuffer = 4 << 10
	// compressAbove is the size in bytes above which a message is compressed.
	compressAbove = 4 << 10
	// lostPeerOdds is the inverse of the probability that a round includes a dead balancer or a seed, so that the two
	// sides of a long partition find each other again.
	lostPeerOdds = 10
)
