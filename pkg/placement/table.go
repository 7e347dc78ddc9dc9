package placement

import (
	"net/netip"
	"slices"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// RowSize is the highest number of targets in a row.
const RowSize = 4

// slots is the number of precomputed rows of a service. It is the same for every service, so that a change of the number of targets moves no more rows than rendezvous hashing does.
const slots = 4096

// Row is an ordered list of indexes into the targets of the service; only the first Len are set.
type Row struct {
	// Index holds indexes into view.Service.Targets, the arbiter first.
	Index [RowSize]uint16
	// Len is the number of targets in the row.
	Len int
}

// First returns the index of the row's first target, or -1 when the row is empty.
func (r Row) First() int {
	if r.Len == 0 {
		return -1
	}
	return int(r.Index[0])
}

// Table holds the rows of one service for one snapshot. It is immutable and safe for concurrent use.
type Table struct {
	service *view.Service
	addrs   []byte
	rows    []uint16
	size    int
	joined  bool
}

// NewTable ranks the targets of s that are active or draining.
func NewTable(s *view.Service) *Table {
	t := newTable(s, false)
	t.rank()
	return t
}

// NextTable returns the same table as NewTable(s). It reuses the rows of previous, the table of an earlier snapshot,
// when the ranked targets are the same, which avoids nearly all of the work; previous may be nil.
func NextTable(previous *Table, s *view.Service) *Table {
	t := newTable(s, false)
	if previous != nil && t.sameRows(previous) {
		t.rows, t.size = previous.rows, previous.size
		return t
	}
	t.rank()
	return t
}

// NewJoinedTable ranks all targets of s, including the joining ones: the table that is in force once they are active.
func NewJoinedTable(s *view.Service) *Table {
	t := newTable(s, true)
	t.rank()
	return t
}

// newTable returns a table without rows; joined includes the joining targets in the ranking.
func newTable(s *view.Service, joined bool) *Table {
	t := &Table{service: s, addrs: make([]byte, 0, len(s.Targets)*wire.AddrSize), joined: joined}
	for i := range s.Targets {
		t.addrs = wire.AppendAddr(t.addrs, s.Targets[i].Agent)
	}
	return t
}

// rank computes the rows.
func (t *Table) rank() {
	var members []ranked
	for i, target := range t.service.Targets {
		if t.ranks(target) {
			members = append(members, newRanked(i, target))
		}
	}
	t.size = min(RowSize, len(members))
	t.rows = make([]uint16, 0, slots*t.size)
	for slot := range uint64(slots) {
		t.rows = appendBest(t.rows, members, slot, t.size)
	}
}

// ranks reports whether the target is in the ranking.
func (t *Table) ranks(target view.Target) bool {
	return t.joined || target.State != view.StateJoining
}

// sameRows reports whether both tables have the same input to their ranking.
func (t *Table) sameRows(other *Table) bool {
	a, b := t.service.Targets, other.service.Targets
	if t.joined != other.joined || len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || capacity(a[i]) != capacity(b[i]) || t.ranks(a[i]) != other.ranks(b[i]) {
			return false
		}
	}
	return true
}

// Service returns the snapshot from which the table was built.
func (t *Table) Service() *view.Service { return t.service }

// Size returns the number of targets in each row.
func (t *Table) Size() int { return t.size }

func (t *Table) Row(flow uint64) Row {
	r := Row{Len: t.size}
	copy(r.Index[:], t.slot(flow))
	return r
}

// First returns the index of the target that arbitrates the flow, or -1 when the service has no target.
func (t *Table) First(flow uint64) int {
	if t.size == 0 {
		return -1
	}
	return int(t.slot(flow)[0])
}

// FirstAgent returns the packet address of the agent that arbitrates the flow, or the zero value when the service has
// no target.
func (t *Table) FirstAgent(flow uint64) netip.AddrPort {
	i := t.First(flow)
	if i < 0 {
		return netip.AddrPort{}
	}
	return t.service.Targets[i].Agent
}

// AppendRow appends the encoded packet addresses of the flow's row to b.
func (t *Table) AppendRow(b []byte, flow uint64) []byte {
	for _, i := range t.slot(flow) {
		at := int(i) * wire.AddrSize
		b = append(b, t.addrs[at:at+wire.AddrSize]...)
	}
	return b
}

// MovedFrom reports whether the flow's first target differs from that of old.
func (t *Table) MovedFrom(old *Table, flow uint64) bool {
	return old == nil || t.FirstAgent(flow) != old.FirstAgent(flow)
}

// ArbitersFor returns, sorted, the indexes of the targets that are first in a row in which target self is at a later
// position.
func (t *Table) ArbitersFor(self int) []int {
	seen := make(map[int]bool)
	for at := 0; at < len(t.rows); at += t.size {
		row := t.rows[at : at+t.size]
		if slices.Contains(row[1:], uint16(self)) {
			seen[int(row[0])] = true
		}
	}
	mates := make([]int, 0, len(seen))
	for i := range seen {
		mates = append(mates, i)
	}
	slices.Sort(mates)
	return mates
}

// Bytes returns the memory size of the table in bytes.
func (t *Table) Bytes() int {
	return 2*cap(t.rows) + cap(t.addrs)
}

func (t *Table) slot(flow uint64) []uint16 {
	at := int(flow&(slots-1)) * t.size
	return t.rows[at : at+t.size]
}
