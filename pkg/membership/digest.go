package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets of the digest. With a few thousand members, the list of bucket hashes and the
// summary of one bucket are of similar size, a few hundred bytes.
const bucketCount = 64

// summaryEntrySize is the size in bytes of one entry of a summary.
const summaryEntrySize = 8

// recordOverhead is an upper bound for the size in bytes of a record's fixed fields on the wire.
const recordOverhead = 80

// Digest identifies the content of a table by hashes.
type Digest struct {
	// Root is the hash of the whole table.
	Root uint64
	// Buckets holds the lower 32 bits of the hash of each bucket.
	Buckets []uint32
}

// Summary lists the members of one bucket by hashes.
type Summary struct {
	// Bucket is the number of the bucket.
	Bucket uint32
	// Entries holds, for each member, its HashID in the upper 32 bits and the hash of its record in the lower 32 bits.
	Entries []uint64
}

// HashID returns the hash that identifies a member in digests and acknowledgements.
func HashID(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

func bucketOf(idHash uint32) uint32 {
	return idHash % bucketCount
}

// recordHash hashes all fields that are sent, except Changed, on which no merge depends.
func recordHash(m *Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{m.ID, m.Region, m.DataCentre, m.PacketAddr.String(), m.ControlAddr, m.Service, m.Version} {
		hashNumber(&d, uint64(len(s)))
		d.WriteString(s)
	}
	numbers := []uint64{
		m.Incarnation, m.Sequence, uint64(m.Role), uint64(m.State), uint64(m.Final),
		uint64(m.Slots), uint64(m.Connections), uint64(m.Weight), uint64(m.ActiveSince.UnixMilli()),
	}
	for _, n := range numbers {
		hashNumber(&d, n)
	}
	return d.Sum64()
}

func hashNumber(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	d.Write(b[:])
}

// Root returns the hash of the whole table.
func (t *Table) Root() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.root()
}

func (t *Table) root() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, h := range t.hashes {
		binary.BigEndian.PutUint64(b[:], h)
		d.Write(b[:])
	}
	return d.Sum64()
}

func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest{Root: t.root(), Buckets: make([]uint32, bucketCount)}
	for i, h := range t.hashes {
		d.Buckets[i] = uint32(h)
	}
	return d
}

// Differing returns the numbers of the buckets whose hash differs from that in buckets.
func (t *Table) Differing(buckets []uint32) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var differing []uint32
	for i, h := range t.hashes {
		if i < len(buckets) && buckets[i] != uint32(h) {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// Summaries returns the summaries of the given buckets, in order, as many as fit into maxBytes but at least one.
func (t *Table) Summaries(buckets []uint32, maxBytes int) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var summaries []Summary
	size := 0
	for _, b := range buckets {
		if b >= bucketCount {
			continue
		}
		size += (len(t.buckets[b]) + 1) * summaryEntrySize
		if len(summaries) > 0 && size > maxBytes {
			break
		}
		summaries = append(summaries, t.summary(b))
	}
	return summaries
}

func (t *Table) summary(b uint32) Summary {
	s := Summary{Bucket: b, Entries: make([]uint64, 0, len(t.buckets[b]))}
	for id, e := range t.buckets[b] {
		s.Entries = append(s.Entries, uint64(id)<<32|uint64(uint32(e.hash)))
	}
	return s
}

// Delta compares the table with the summaries of another one. It returns the records that the other table lacks or
// holds with another content, as many as fit into maxBytes but at least one, and the hashes of the members whose
// records this table lacks or holds with another content. When the records don't fit, want covers only the buckets
// compared so far.
func (t *Table) Delta(summaries []Summary, maxBytes int) (members []Member, want []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := 0
	for _, s := range summaries {
		if s.Bucket >= bucketCount {
			continue
		}
		differing, wanted := t.compare(s)
		want = append(want, wanted...)
		for _, e := range differing {
			size += RecordSize(&e.member)
			if len(members) > 0 && size > maxBytes {
				return members, want
			}
			members = append(members, e.member)
		}
	}
	return members, want
}

func (t *Table) compare(s Summary) (differing []*entry, want []uint32) {
	theirs := make(map[uint32]uint32, len(s.Entries))
	for _, e := range s.Entries {
		theirs[uint32(e>>32)] = uint32(e)
	}
	for id, e := range t.buckets[s.Bucket] {
		if hash, ok := theirs[id]; !ok || hash != uint32(e.hash) {
			differing = append(differing, e)
		}
	}
	for id, hash := range theirs {
		if e, ok := t.buckets[s.Bucket][id]; !ok || hash != uint32(e.hash) {
			want = append(want, id)
		}
	}
	return differing, want
}

// Select returns the records of the members with the given HashIDs, as many as fit into maxBytes but at least one.
func (t *Table) Select(hashes []uint32, maxBytes int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	size := 0
	for _, h := range hashes {
		e, ok := t.buckets[bucketOf(h)][h]
		if !ok {
			continue
		}
		size += RecordSize(&e.member)
		if len(members) > 0 && size > maxBytes {
			return members
		}
		members = append(members, e.member)
	}
	return members
}

// RecordSize returns an upper bound for the size in bytes of a record on the wire.
func RecordSize(m *Member) int {
	return recordOverhead + len(m.ID) + len(m.Region) + len(m.DataCentre) + len(m.ControlAddr) + len(m.Service) + len(m.Version)
}
