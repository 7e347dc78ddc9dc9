package ticket

const minRing = 64

// ring holds the entries of consecutive sequence numbers; its buffer grows and never shrinks.
type ring struct {
	entries []entry
	first   uint64
	size    int
}

func newRing() ring {
	return ring{entries: make([]entry, minRing), first: 1}
}

// next returns the sequence number of the next entry.
func (r *ring) next() uint64 { return r.first + uint64(r.size) }

// at returns the entry of a sequence number, or nil.
func (r *ring) at(seq uint64) *entry {
	if seq < r.first || seq >= r.next() {
		return nil
	}
	return &r.entries[seq%uint64(len(r.entries))]
}

// push appends an entry and doubles the ring when it is full.
func (r *ring) push(e entry) uint64 {
	if r.size == len(r.entries) {
		r.grow()
	}
	seq := r.next()
	r.size++
	*r.at(seq) = e
	return seq
}

func (r *ring) grow() {
	old := *r
	r.entries = make([]entry, 2*len(old.entries))
	for seq := old.first; seq < old.next(); seq++ {
		*r.at(seq) = *old.at(seq)
	}
}

// pop removes the oldest entry.
func (r *ring) pop() {
	r.first++
	r.size--
}
