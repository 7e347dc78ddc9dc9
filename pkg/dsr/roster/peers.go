package roster

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// peer is what is known of one process.
type peer struct {
	added time.Time
	heard time.Time
	told  time.Time
	// part is the part of the interval after which the peer is told again, sends the number of messages so far, from which the
	// next part is drawn.
	part  float64
	sends uint64
	// lively is set from the first message until the silence has been reported.
	lively bool
	// says is the time between two messages of the peer, as it says; wants is what it asks for between two messages to it.
	says  time.Duration
	wants time.Duration
}

// Peers are the known processes of one role. The zero value is empty.
type Peers struct {
	// Seed keeps the messages of processes that were started together apart.
	Seed uint64

	m map[netip.AddrPort]*peer
	// order keeps the order of addition, so that every walk is the same.
	order []netip.AddrPort
	draws uint64
}

// Add adds a peer that is known by hearsay; it reports whether it is new.
func (p *Peers) Add(now time.Time, a netip.AddrPort) bool {
	if p.m == nil {
		p.m = make(map[netip.AddrPort]*peer)
	}
	if p.m[a] != nil {
		return false
	}
	p.m[a] = &peer{added: now, part: 1}
	p.order = append(p.order, a)
	return true
}

// MarkSeen notes a message of a peer; it reports whether the peer is new or was quiet.
func (p *Peers) MarkSeen(now time.Time, a netip.AddrPort) bool {
	p.Add(now, a)
	e := p.m[a]
	fresh := e.heard.IsZero() || now.Sub(e.heard) > e.silence()
	e.heard, e.lively = now, true
	return fresh
}

// SetSendInterval notes the time between two messages of a peer, as the peer says. It may be silent for four times that.
func (p *Peers) SetSendInterval(a netip.AddrPort, interval time.Duration) {
	if e := p.m[a]; e != nil {
		e.says = min(interval, MaxInterval)
	}
}

// SetRequestedInterval notes the time that a peer asks for between two messages to it.
func (p *Peers) SetRequestedInterval(a netip.AddrPort, interval time.Duration) {
	if e := p.m[a]; e != nil {
		e.wants = min(interval, MaxInterval)
	}
}

// silence is how long the peer may say nothing until it is taken for gone.
func (e *peer) silence() time.Duration { return max(SilenceTimeout, quietMessages*e.says) }

// Contains reports whether the peer is known.
func (p *Peers) Contains(a netip.AddrPort) bool { return p.m[a] != nil }

// Alive reports whether the peer was heard of lately.
func (p *Peers) Alive(now time.Time, a netip.AddrPort) bool {
	e := p.m[a]
	return e != nil && e.alive(now)
}

func (e *peer) alive(now time.Time) bool {
	return !e.heard.IsZero() && now.Sub(e.heard) <= e.silence()
}

// NewlySilent returns the peers that have fallen silent since the last call.
func (p *Peers) NewlySilent(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range p.order {
		if e := p.m[a]; e.lively && !e.alive(now) {
			e.lively = false
			out = append(out, a)
		}
	}
	return out
}

// Due returns the peers that are to be told something now, and notes that they were. Peers that were silent for long are
// forgotten.
func (p *Peers) Due(now time.Time) []netip.AddrPort {
	p.Expire(now)
	var due []netip.AddrPort
	for _, a := range p.order {
		e := p.m[a]
		if now.Sub(e.told) < time.Duration(e.part*float64(p.interval(now, e))) {
			continue
		}
		p.tell(now, a, e)
		due = append(due, a)
	}
	return due
}

// tell notes a message to a peer, and draws when the next one is due. Processes that have told everybody at once, such as at the
// start, would else do so again after each interval, with nothing to be heard in between.
func (p *Peers) tell(now time.Time, a netip.AddrPort, e *peer) {
	atOnce := e.told.IsZero()
	e.told, e.part = now, 1
	e.sends++
	if !e.alive(now) || p.Interval(e.wants) == MinInterval {
		return
	}
	drawn := p.draw(a, e.sends)
	if atOnce {
		e.part = drawn
		return
	}
	e.part = 1 - steadySpread*drawn
}

// draw returns a number from 0 to 1 that is the same for the same peer, count and seed.
func (p *Peers) draw(a netip.AddrPort, count uint64) float64 {
	return float64(flow.Mix(p.Seed^flow.Mix(flow.AddrBits(a)^count<<48))>>11) / (1 << 53)
}

// interval is the time between two messages to a peer.
func (p *Peers) interval(now time.Time, e *peer) time.Duration {
	switch {
	case e.alive(now):
		return p.Interval(e.wants)
	case now.Sub(e.added) < EagerTime, now.Sub(e.heard) < e.silence()+EagerTime-SilenceTimeout:
		return max(EagerInterval, perSecond(len(p.order), EagerRate))
	}
	return max(SilentInterval, perSecond(len(p.order), SilentRate))
}

// Interval is the time between two messages to a peer that is heard of and asks for one in the given time: the longer, the more
// peers there are, so that their number does not change what this process sends.
func (p *Peers) Interval(wanted time.Duration) time.Duration {
	return max(MinInterval, perSecond(len(p.order), SendRate), wanted)
}

// IntervalTo is the time between two messages to a peer that is heard of.
func (p *Peers) IntervalTo(a netip.AddrPort) time.Duration {
	if e := p.m[a]; e != nil {
		return p.Interval(e.wants)
	}
	return MinInterval
}

// IntervalFor is what one of a number of processes is asked to leave between two messages to the same receiver, so that their
// number does not change what the receiver hears.
func IntervalFor(senders int) time.Duration {
	return min(max(MinInterval, perSecond(senders, ReceiveRate)), MaxInterval)
}

// RemoteIntervalFor is IntervalFor for senders of other data centres than the receiver's.
func RemoteIntervalFor(senders int) time.Duration {
	near := IntervalFor(senders)
	if near <= farAfter {
		return near
	}
	return min(farFactor*near, MaxInterval)
}

// perSecond is the interval of each of n messages when rate of them are sent a second.
func perSecond(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// MakeAllDue makes the next call of Due return every peer.
func (p *Peers) MakeAllDue() {
	for _, e := range p.m {
		e.told = time.Time{}
	}
}

// Sample returns up to n living peers, others each time.
func (p *Peers) Sample(now time.Time, n int) []netip.AddrPort {
	living := p.Living(now)
	p.draws++
	for i := range min(n, len(living)) {
		j := i + int(p.draw(living[i], p.draws)*float64(len(living)-i))
		living[i], living[j] = living[j], living[i]
	}
	return living[:min(n, len(living))]
}

// Len is the number of known peers.
func (p *Peers) Len() int { return len(p.order) }

// All returns the known peers in order of addition.
func (p *Peers) All() []netip.AddrPort { return p.order }

// Living returns the peers that were heard of lately.
func (p *Peers) Living(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range p.order {
		if p.Alive(now, a) {
			out = append(out, a)
		}
	}
	return out
}

// Expire drops the peers that were silent for ExpireAfter.
func (p *Peers) Expire(now time.Time) {
	kept := p.order[:0]
	for _, a := range p.order {
		e := p.m[a]
		if now.Sub(e.added) > ExpireAfter && now.Sub(e.heard) > max(ExpireAfter, e.silence()) {
			delete(p.m, a)
			continue
		}
		kept = append(kept, a)
	}
	p.order = kept
}
