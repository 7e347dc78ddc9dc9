package roster

import (
	"net/netip"
	"time"
)

// peer is the state of one process.
type peer struct {
	address netip.AddrPort
	// number is that of the peer in order of addition.
	number   uint64
	added    time.Time
	lastSeen time.Time
	lastSent time.Time
	// fraction is the fraction of the interval after which the next message is sent; sendCount is the number of
	// messages sent, from which the next fraction is drawn.
	fraction  float64
	sendCount uint64
	// promised is the interval that the last message to the peer named: without another message within a multiple of it,
	// the peer takes this process for lost.
	promised time.Duration
	// spread is the interval over which the time of a message to the peer was last drawn; zero after a message that the
	// peer may not have received.
	spread time.Duration
	// reportedAlive is set from the first message until NewlySilent has reported the peer.
	reportedAlive bool
	// sendInterval is the time between two messages of the peer, as reported by it; requestedInterval is the time that
	// it requests between two messages to it.
	sendInterval      time.Duration
	requestedInterval time.Duration
	// sendAt and silentAt are the entries of the peer in the queues of Peers.
	sendAt, silentAt deadline
}

// silenceTimeout is how long the peer may be silent before it counts as lost.
func (e *peer) silenceTimeout() time.Duration {
	return max(SilenceTimeout, silentIntervals*e.sendInterval)
}

func (e *peer) isAlive(now time.Time) bool {
	return !e.lastSeen.IsZero() && now.Sub(e.lastSeen) <= e.silenceTimeout()
}

// eagerInterval returns the time between two messages to a peer that is new or has just become silent. To one that was
// never seen it grows: it may be asked by all processes at once, and answer late because of that.
func (e *peer) eagerInterval() time.Duration {
	if !e.lastSeen.IsZero() || e.sendCount <= eagerMessages {
		return EagerInterval
	}
	return min(EagerInterval<<min(e.sendCount-eagerMessages, 8), SilentInterval)
}

// isExpired reports whether the peer has been silent for ExpireAfter, and for its silence timeout if that is longer.
func (e *peer) isExpired(now time.Time) bool {
	return now.Sub(e.added) > ExpireAfter && now.Sub(e.lastSeen) > max(ExpireAfter, e.silenceTimeout())
}

// silentFrom is the first moment at which the peer counts as lost unless it is seen again.
func (e *peer) silentFrom() time.Time { return e.lastSeen.Add(e.silenceTimeout() + 1) }
