package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxHeldTime is how long a datagram of an unknown sender is held for a view that lists the sender.
	maxHeldTime = 10 * time.Second
	// maxHeld and maxHeldPerSender bound the number of held datagrams, in total and per sender.
	maxHeld          = 1024
	maxHeldPerSender = 64
	// maxHeldSize is the size of the largest datagram that is held, in bytes.
	maxHeldSize = 4 << 10
)

// heldDatagram is a datagram whose sender is not in the view.
type heldDatagram struct {
	from  netip.AddrPort
	at    time.Time
	bytes []byte
}

// held buffers datagrams of unknown senders, since this agent's view may be older than the sender's.
type held struct {
	mu        sync.Mutex
	list      []heldDatagram
	perSender map[netip.AddrPort]int
}

// add stores a copy of a datagram; it returns false when a limit is exceeded.
func (h *held) add(b []byte, from netip.AddrPort, now time.Time) bool {
	if len(b) > maxHeldSize {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(func(d *heldDatagram) bool { return now.Sub(d.at) > maxHeldTime })
	if len(h.list) >= maxHeld || h.perSender[from] >= maxHeldPerSender {
		return false
	}
	if h.perSender == nil {
		h.perSender = map[netip.AddrPort]int{}
	}
	h.list = append(h.list, heldDatagram{from: from, at: now, bytes: append([]byte(nil), b...)})
	h.perSender[from]++
	return true
}

// take removes and returns, in order of arrival, the unexpired datagrams whose sender is now known. It also removes
// expired ones.
func (h *held) take(known func(netip.AddrPort) bool, now time.Time) []heldDatagram {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldDatagram
	h.remove(func(d *heldDatagram) bool {
		if now.Sub(d.at) > maxHeldTime {
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

// remove drops the datagrams for which gone returns true. The caller holds h.mu.
func (h *held) remove(gone func(*heldDatagram) bool) {
	kept := h.list[:0]
	for i := range h.list {
		d := &h.list[i]
		if !gone(d) {
			kept = append(kept, *d)
			continue
		}
		if h.perSender[d.from]--; h.perSender[d.from] <= 0 {
			delete(h.perSender, d.from)
		}
	}
	clear(h.list[len(kept):])
	h.list = kept
}
