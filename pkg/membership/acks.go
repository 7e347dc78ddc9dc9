package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ack lists balancers whose highest revision in force is Revision.
type Ack struct {
	Revision uint64
	// Balancers holds the HashID of each balancer.
	Balancers []uint32
}

// Acks holds the highest revision that each balancer has in force. Acknowledgements are not part of the member records,
// because each revision would then resend the record of every balancer to every balancer; an entry here takes 4 bytes
// on the wire. All methods are safe for concurrent use.
type Acks struct {
	mu      sync.Mutex
	entries map[uint32]ackEntry
	version uint64
	changed chan struct{}
}

type ackEntry struct {
	revision uint64
	modified uint64
}

func NewAcks() *Acks {
	return &Acks{entries: make(map[uint32]ackEntry), changed: make(chan struct{}, 1)}
}

// Set records that a balancer has a revision in force. A revision that isn't higher than the recorded one is ignored.
func (a *Acks) Set(id string, revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(HashID(id), revision)
}

func (a *Acks) set(hash uint32, revision uint64) {
	if revision <= a.entries[hash].revision {
		return
	}
	a.version++
	a.entries[hash] = ackEntry{revision: revision, modified: a.version}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value after changes. All calls return the same channel.
func (a *Acks) Changed() <-chan struct{} {
	return a.changed
}

// Merge adds the acknowledgements reported by another balancer.
func (a *Acks) Merge(acks []Ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ack := range acks {
		for _, hash := range ack.Balancers {
			a.set(hash, ack.Revision)
		}
	}
}

// All returns all acknowledgements in ascending order of revision.
func (a *Acks) All() []Ack {
	acks, _ := a.ChangedSince(0)
	return acks
}

// ChangedSince returns the acknowledgements that changed after the given version of the set, in ascending order of
// revision, and the current version.
func (a *Acks) ChangedSince(version uint64) ([]Ack, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	byRevision := make(map[uint64][]uint32)
	for hash, e := range a.entries {
		if e.modified > version {
			byRevision[e.revision] = append(byRevision[e.revision], hash)
		}
	}
	acks := make([]Ack, 0, len(byRevision))
	for revision, hashes := range byRevision {
		slices.Sort(hashes)
		acks = append(acks, Ack{Revision: revision, Balancers: hashes})
	}
	slices.SortFunc(acks, func(x, y Ack) int { return cmp.Compare(x.Revision, y.Revision) })
	return acks, a.version
}

// Retain removes all balancers except the given ones.
func (a *Acks) Retain(balancers []Member) {
	keep := make(map[uint32]bool, len(balancers))
	for _, b := range balancers {
		keep[HashID(b.ID)] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.entries, func(hash uint32, _ ackEntry) bool { return !keep[hash] })
}

// Root returns a hash over all entries, which doesn't depend on their order.
func (a *Acks) Root() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var root uint64
	for hash, e := range a.entries {
		var b [12]byte
		binary.BigEndian.PutUint32(b[:], hash)
		binary.BigEndian.PutUint64(b[4:], e.revision)
		root ^= xxhash.Sum64(b[:])
	}
	return root
}

// InForce returns n, how many of the live balancers among those given have this or a higher revision in force, and m,
// how many are live.
func (a *Acks) InForce(revision uint64, balancers []Member) (n, m int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range balancers {
		if b.Role != RoleBalancer || !b.Live() {
			continue
		}
		m++
		if a.entries[HashID(b.ID)].revision >= revision {
			n++
		}
	}
	return n, m
}
