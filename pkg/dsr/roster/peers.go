package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// peer is the state of one process.
type peer struct {
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
	// reportedAlive is set from the first message until NewlySilent has reported the peer.
	reportedAlive bool
	// sendInterval is the time between two messages of the peer, as reported by it; requestedInterval is the time that
	// it requests between two messages to it.
	sendInterval      time.Duration
	requestedInterval time.Duration
}

// Peers are the known processes of one role. The zero value is empty.
type Peers struct {
	// Seed differs between processes, so that those started together do not send their messages at the same times.
	Seed uint64

	m map[netip.AddrPort]*peer
	// order lists the peers in order of addition, so that iteration is deterministic.
	order []netip.AddrPort
	draws uint64
}

// Add adds a peer that another process has named; it reports whether it is new.
func (p *Peers) Add(now time.Time, a netip.AddrPort) bool {
	if p.m == nil {
		p.m = make(map[netip.AddrPort]*peer)
	}
	if p.m[a] != nil {
		return false
	}
	p.m[a] = &peer{added: now, fraction: 1}
	p.order = append(p.order, a)
	return true
}

// MarkSeen records a message of a peer; it reports whether the peer is new or was silent.
func (p *Peers) MarkSeen(now time.Time, a netip.AddrPort) bool {
	p.Add(now, a)
	e := p.m[a]
	fresh := e.lastSeen.IsZero() || now.Sub(e.lastSeen) > e.silenceTimeout()
	e.lastSeen, e.reportedAlive = now, true
	return fresh
}

// SetSendInterval sets the time between two messages of a peer. The peer may be silent for silentIntervals of it.
func (p *Peers) SetSendInterval(a netip.AddrPort, interval time.Duration) {
	if e := p.m[a]; e != nil {
		e.sendInterval = min(interval, MaxInterval)
	}
}

// SetRequestedInterval sets the time that a peer requests between two messages to it.
func (p *Peers) SetRequestedInterval(a netip.AddrPort, interval time.Duration) {
	if e := p.m[a]; e != nil {
		e.requestedInterval = min(interval, MaxInterval)
	}
}

// silenceTimeout is how long the peer may be silent before it counts as lost.
func (e *peer) silenceTimeout() time.Duration {
	return max(SilenceTimeout, silentIntervals*e.sendInterval)
}

func (p *Peers) Contains(a netip.AddrPort) bool { return p.m[a] != nil }

// Alive reports whether the peer was seen within its silence timeout.
func (p *Peers) Alive(now time.Time, a netip.AddrPort) bool {
	e := p.m[a]
	return e != nil && e.isAlive(now)
}

func (e *peer) isAlive(now time.Time) bool {
	return !e.lastSeen.IsZero() && now.Sub(e.lastSeen) <= e.silenceTimeout()
}

// NewlySilent returns the peers that have become silent since the last call.
func (p *Peers) NewlySilent(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range p.order {
		if e := p.m[a]; e.reportedAlive && !e.isAlive(now) {
			e.reportedAlive = false
			out = append(out, a)
		}
	}
	return out
}

// Due returns the peers that a message is due to now, and records the messages as sent. It expires peers first.
func (p *Peers) Due(now time.Time) []netip.AddrPort {
	p.Expire(now)
	var due []netip.AddrPort
	for _, a := range p.order {
		e := p.m[a]
		if now.Sub(e.lastSent) < time.Duration(e.fraction*float64(p.interval(now, e))) {
			continue
		}
		p.recordSent(now, a, e)
		due = append(due, a)
	}
	return due
}

// recordSent records a message to a peer and schedules the next one. Intervals are jittered: a process that sends
// to all peers at once, such as at its start, would otherwise continue to send in such bursts.
func (p *Peers) recordSent(now time.Time, a netip.AddrPort, e *peer) {
	atOnce := e.lastSent.IsZero()
	e.lastSent, e.fraction, e.promised = now, 1, p.Interval(e.requestedInterval)
	e.sendCount++
	if !e.isAlive(now) || p.Interval(e.requestedInterval) == MinInterval {
		return
	}
	drawn := p.draw(a, e.sendCount)
	if atOnce {
		e.fraction = drawn
		return
	}
	e.fraction = 1 - intervalJitter*drawn
}

// draw returns a pseudo-random number in [0, 1) that depends only on the peer, the count and the seed.
func (p *Peers) draw(a netip.AddrPort, count uint64) float64 {
	return float64(flow.Mix(p.Seed^flow.Mix(flow.AddrBits(a)^count<<48))>>11) / (1 << 53)
}

// interval returns the time between two messages to a peer.
func (p *Peers) interval(now time.Time, e *peer) time.Duration {
	switch {
	case e.isAlive(now):
		// Intervals grow as peers are added; the next message names the longer one.
		return min(p.Interval(e.requestedInterval), e.promised)
	case now.Sub(e.added) < EagerTime, now.Sub(e.lastSeen) < e.silenceTimeout()+EagerTime-SilenceTimeout:
		return max(EagerInterval, intervalAtRate(len(p.order), EagerRate))
	}
	return max(SilentInterval, intervalAtRate(len(p.order), SilentRate))
}

// Interval returns the time between two messages to a living peer that requests the given one. It grows with the number
// of peers, which bounds the messages of this process to SendRate.
func (p *Peers) Interval(wanted time.Duration) time.Duration {
	return max(MinInterval, intervalAtRate(len(p.order), SendRate), wanted)
}

// IntervalTo returns the time between two messages to a peer while it is alive.
func (p *Peers) IntervalTo(a netip.AddrPort) time.Duration {
	if e := p.m[a]; e != nil {
		return p.Interval(e.requestedInterval)
	}
	return MinInterval
}

// IntervalFor returns the interval that each of a number of senders is asked to keep, so that the receiver gets at most
// ReceiveRate messages per second.
func IntervalFor(senders int) time.Duration {
	return min(max(MinInterval, intervalAtRate(senders, ReceiveRate)), MaxInterval)
}

// RemoteIntervalFor is IntervalFor for senders of other data centres than the receiver's.
func RemoteIntervalFor(senders int) time.Duration {
	near := IntervalFor(senders)
	if near <= remoteThreshold {
		return near
	}
	return min(remoteFactor*near, MaxInterval)
}

// intervalAtRate returns the interval of each of n senders or receivers when all together have rate messages per
// second.
func intervalAtRate(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// MakeAllDue makes the next call of Due return every peer.
func (p *Peers) MakeAllDue() {
	for _, e := range p.m {
		e.lastSent = time.Time{}
	}
}

// Sample returns up to n random living peers.
func (p *Peers) Sample(now time.Time, n int) []netip.AddrPort {
	living := p.Living(now)
	p.draws++
	for i := range min(n, len(living)) {
		j := i + int(p.draw(living[i], p.draws)*float64(len(living)-i))
		living[i], living[j] = living[j], living[i]
	}
	return living[:min(n, len(living))]
}

// Len returns the number of known peers.
func (p *Peers) Len() int { return len(p.order) }

// All returns the known peers in order of addition.
func (p *Peers) All() []netip.AddrPort { return p.order }

// AnyAlive reports whether a peer is alive.
func (p *Peers) AnyAlive(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(a netip.AddrPort) bool { return p.Alive(now, a) })
}

// Living returns the living peers in order of addition.
func (p *Peers) Living(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range p.order {
		if p.Alive(now, a) {
			out = append(out, a)
		}
	}
	return out
}

// Expire removes the peers that have been silent for ExpireAfter, and for their silence timeout if that is longer.
func (p *Peers) Expire(now time.Time) {
	kept := p.order[:0]
	for _, a := range p.order {
		e := p.m[a]
		if now.Sub(e.added) > ExpireAfter && now.Sub(e.lastSeen) > max(ExpireAfter, e.silenceTimeout()) {
			delete(p.m, a)
			continue
		}
		kept = append(kept, a)
	}
	p.order = kept
}
