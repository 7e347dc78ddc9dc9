package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// heldTime is how long a datagram of an unknown agent waits for a view that names the agent.
	heldTime = 10 * time.Second
	// maxHeld and maxHeldOfOne bound the datagrams that wait, of all senders and of one.
	maxHeld      = 1024
	maxHeldOfOne = 64
	// maxHeldSize is the size of the largest datagram that waits, in bytes.
	maxHeldSize = 4 << 10
)

// heldDatagram is a datagram of an agent that the view does not name.
type heldDatagram struct {
	from  netip.AddrPort
	at    time.Time
	bytes []byte
}

// held keeps datagrams of unknown agents: this agent's view may be older than the sender's.
type held struct {
	mu   sync.Mutex
	list []heldDatagram
	of   map[netip.AddrPort]int
}

// add keeps a copy of a datagram; it returns false when there is no room.
func (h *held) add(b []byte, from netip.AddrPort, now time.Time) bool {
	if len(b) > maxHeldSize {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(func(d *heldDatagram) bool { return now.Sub(d.at) > heldTime })
	if len(h.list) >= maxHeld || h.of[from] >= maxHeldOfOne {
		return false
	}
	if h.of == nil {
		h.of = map[netip.AddrPort]int{}
	}
	h.list = append(h.list, heldDatagram{from: from, at: now, bytes: append([]byte(nil), b...)})
	h.of[from]++
	return true
}

// take removes and returns the datagrams, in their order, whose sender is known now and which are not too old.
func (h *held) take(known func(netip.AddrPort) bool, now time.Time) []heldDatagram {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldDatagram
	h.remove(func(d *heldDatagram) bool {
		if now.Sub(d.at) > heldTime {
			return true
		}
		if !known(d.from) {
			return false
		}
		out = append(out, *d)
		return true
	})
	return out
}

// remove drops the datagrams for which gone is true; h.mu is held.
func (h *held) remove(gone func(*heldDatagram) bool) {
	kept := h.list[:0]
	for i := range h.list {
		d := &h.list[i]
		if !gone(d) {
			kept = append(kept, *d)
			continue
		}
		if h.of[d.from]--; h.of[d.from] <= 0 {
			delete(h.of, d.from)
		}
	}
	clear(h.list[len(kept):])
	h.list = kept
}
