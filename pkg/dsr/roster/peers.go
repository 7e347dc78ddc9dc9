package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// expireInterval is the time between two removals of expired peers.
const expireInterval = time.Second

// Peers are the known processes of one role. The zero value is empty. What is due is found without looking at all peers:
// it is asked for 20 times a second.
type Peers struct {
	// Seed differs between processes, so that those started together do not send their messages at the same times.
	Seed uint64

	m map[netip.AddrPort]*peer
	// order lists the peers in order of addition, so that iteration is deterministic.
	order []*peer
	added uint64
	draws uint64
	// sendQueue holds all peers by the time of the next message, silentQueue those that are reported as alive by the time
	// at which they count as lost.
	sendQueue   deadlines
	silentQueue deadlines
	// expired is when expired peers were last removed.
	expired time.Time
}

// Add adds a peer that another process has named; it reports whether it is new.
func (p *Peers) Add(now time.Time, a netip.AddrPort) bool {
	if p.m == nil {
		p.m = make(map[netip.AddrPort]*peer)
	}
	if p.m[a] != nil {
		return false
	}
	p.added++
	e := &peer{address: a, number: p.added, added: now, fraction: 1}
	p.m[a] = e
	p.order = append(p.order, e)
	e.sendAt.set(&p.sendQueue, e, time.Time{})
	return true
}

// MarkSeen records a message of a peer; it reports whether the peer is new or was silent.
func (p *Peers) MarkSeen(now time.Time, a netip.AddrPort) bool {
	p.Add(now, a)
	e := p.m[a]
	fresh := e.lastSeen.IsZero() || now.Sub(e.lastSeen) > e.silenceTimeout()
	e.lastSeen = now
	if fresh && !e.lastSent.IsZero() {
		p.drawNext(e)
		e.sendAt.set(&p.sendQueue, e, time.Time{})
	}
	if !e.reportedAlive {
		e.reportedAlive = true
		e.silentAt.set(&p.silentQueue, e, e.silentFrom())
	}
	return fresh
}

// SetSendInterval sets the time between two messages of a peer. The peer may be silent for silentIntervals of it.
func (p *Peers) SetSendInterval(a netip.AddrPort, interval time.Duration) {
	e := p.m[a]
	if e == nil {
		return
	}
	shorter := min(interval, MaxInterval) < e.sendInterval
	e.sendInterval = min(interval, MaxInterval)
	if shorter && e.reportedAlive {
		e.silentAt.set(&p.silentQueue, e, e.silentFrom())
		e.sendAt.set(&p.sendQueue, e, time.Time{})
	}
}

// SetRequestedInterval sets the time that a peer requests between two messages to it.
func (p *Peers) SetRequestedInterval(a netip.AddrPort, interval time.Duration) {
	e := p.m[a]
	if e == nil {
		return
	}
	shorter := min(interval, MaxInterval) < e.requestedInterval
	e.requestedInterval = min(interval, MaxInterval)
	if shorter {
		e.sendAt.set(&p.sendQueue, e, time.Time{})
	}
}

func (p *Peers) Contains(a netip.AddrPort) bool { return p.m[a] != nil }

// Alive reports whether the peer was seen within its silence timeout.
func (p *Peers) Alive(now time.Time, a netip.AddrPort) bool {
	e := p.m[a]
	return e != nil && e.isAlive(now)
}

// LastSent returns when the last message was sent to a peer; zero when none was.
func (p *Peers) LastSent(a netip.AddrPort) time.Time {
	if e := p.m[a]; e != nil {
		return e.lastSent
	}
	return time.Time{}
}

// NewlySilent returns the peers that have become silent since the last call, in order of addition.
func (p *Peers) NewlySilent(now time.Time) []netip.AddrPort {
	var silent []*peer
	for e := p.silentQueue.next(now); e != nil; e = p.silentQueue.next(now) {
		if e.isAlive(now) {
			e.silentAt.set(&p.silentQueue, e, e.silentFrom())
			continue
		}
		e.reportedAlive = false
		e.silentAt.clear()
		silent = append(silent, e)
	}
	return addressesOf(silent)
}

// Due returns the peers that a message is due to now, in order of addition, and records the messages as sent. It expires
// peers first.
func (p *Peers) Due(now time.Time) []netip.AddrPort {
	p.Expire(now)
	var due []*peer
	for e := p.sendQueue.next(now); e != nil; e = p.sendQueue.next(now) {
		if at := p.sendTime(now, e); at.After(now) {
			e.sendAt.set(&p.sendQueue, e, at)
			continue
		}
		p.recordSent(now, e)
		e.sendAt.set(&p.sendQueue, e, p.sendTime(now, e))
		due = append(due, e)
	}
	return addressesOf(due)
}

// addressesOf returns the addresses of peers in order of addition; it sorts the list.
func addressesOf(list []*peer) []netip.AddrPort {
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(x, y *peer) int { return cmp.Compare(x.number, y.number) })
	out := make([]netip.AddrPort, len(list))
	for i, e := range list {
		out[i] = e.address
	}
	return out
}

// sendTime returns when the next message to a peer is due, at the latest when the peer counts as lost, which shortens the
// interval.
func (p *Peers) sendTime(now time.Time, e *peer) time.Time {
	at := e.lastSent.Add(time.Duration(e.fraction * float64(p.interval(now, e))))
	if e.isAlive(now) && e.silentFrom().Before(at) {
		return e.silentFrom()
	}
	return at
}

// recordSent records a message to a peer and draws the time of the next one.
func (p *Peers) recordSent(now time.Time, e *peer) {
	e.lastSent, e.fraction, e.promised = now, 1, p.Interval(e.requestedInterval)
	e.sendCount++
	if !e.isAlive(now) {
		e.spread = 0
		return
	}
	p.drawNext(e)
}

// drawNext draws the time of the next message to a living peer. A process that sends to all peers at once, as at its start
// or while intervals grow, would otherwise go on in such bursts, with nothing between them.
func (p *Peers) drawNext(e *peer) {
	if e.promised == MinInterval {
		return
	}
	drawn := p.draw(e.address, e.sendCount)
	if float64(e.promised) <= (1+intervalJitter)*float64(e.spread) {
		e.fraction = 1 - intervalJitter*drawn
		return
	}
	e.fraction, e.spread = drawn, e.promised
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
		return max(e.eagerInterval(), intervalAtRate(len(p.order), EagerRate))
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

// MakeAllDue makes the next call of Due return every peer.
func (p *Peers) MakeAllDue() {
	for _, e := range p.order {
		e.lastSent, e.spread = time.Time{}, 0
		e.sendAt.set(&p.sendQueue, e, time.Time{})
	}
}

// Sample returns up to n random living peers.
func (p *Peers) Sample(now time.Time, n int) []netip.AddrPort {
	var out []netip.AddrPort
	// Where most peers live, a few draws find enough of them.
	for range 2 * n {
		if len(out) == n || len(p.order) <= 2*n {
			break
		}
		p.draws++
		e := p.order[int(p.draw(netip.AddrPort{}, p.draws)*float64(len(p.order)))]
		if e.isAlive(now) && !slices.Contains(out, e.address) {
			out = append(out, e.address)
		}
	}
	if len(out) == n {
		return out
	}
	return p.shuffled(now, n)
}

// shuffled returns up to n random living peers, after looking at all.
func (p *Peers) shuffled(now time.Time, n int) []netip.AddrPort {
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
func (p *Peers) All() []netip.AddrPort {
	out := make([]netip.AddrPort, len(p.order))
	for i, e := range p.order {
		out[i] = e.address
	}
	return out
}

// AnyAlive reports whether a peer is alive.
func (p *Peers) AnyAlive(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(e *peer) bool { return e.isAlive(now) })
}

// Living returns the living peers in order of addition.
func (p *Peers) Living(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range p.order {
		if e.isAlive(now) {
			out = append(out, e.address)
		}
	}
	return out
}

// Expire removes the peers that have been silent for ExpireAfter, and for their silence timeout if that is longer. It
// does so once in expireInterval.
func (p *Peers) Expire(now time.Time) {
	if now.Sub(p.expired) < expireInterval {
		return
	}
	p.expired = now
	p.order = slices.DeleteFunc(p.order, func(e *peer) bool {
		if !e.isExpired(now) {
			return false
		}
		delete(p.m, e.address)
		e.sendAt.clear()
		e.silentAt.clear()
		return true
	})
}
