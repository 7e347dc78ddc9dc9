package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ack names the balancers that have a revision in force.
type Ack struct {
	// Revision is the number of the revision.
	Revision uint64
	// Balancers are hashes made by HashID.
	Balancers []uint32
}

// Acks holds the highest revision that each balancer has in force. It is kept apart from the member records because a
// change of all balancers' records with each revision would cost each balancer the size of all records; an entry here
// takes 4 bytes. All methods may be called from any goroutine.
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

// NewAcks returns an empty set.
func NewAcks() *Acks {
	return &Acks{entries: make(map[uint32]ackEntry), changed: make(chan struct{}, 1)}
}

// Set notes that a balancer has a revision in force; a lower revision than known changes nothing.
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

// Changed returns a channel that gets a value after changes. There is one channel only.
func (a *Acks) Changed() <-chan struct{} {
	return a.changed
}

// Merge takes in what another balancer knows.
func (a *Acks) Merge(acks []Ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ack := range acks {
		for _, hash := range ack.Balancers {
			a.set(hash, ack.Revision)
		}
	}
}

// All returns everything known, by rising revision.
func (a *Acks) All() []Ack {
	acks, _ := a.ChangedSince(0)
	return acks
}

// ChangedSince returns what changed after the given version, by rising revision, and the present version.
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

// Retain forgets all balancers but the given ones.
func (a *Acks) Retain(balancers []Member) {
	keep := make(map[uint32]bool, len(balancers))
	for _, b := range balancers {
		keep[HashID(b.ID)] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.entries, func(hash uint32, _ ackEntry) bool { return !keep[hash] })
}

// Root returns a hash of everything known.
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

// InForce returns how many of the given balancers have at least the revision in force, and how many of them are live.
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
