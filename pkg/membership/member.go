package membership

import (
	"cmp"
	"net/netip"
	"time"
)

// Member is the record of an agent or a balancer. The process itself increments Sequence with each change of its
// record. Others set only the state dead, and keep the sequence of the record on which they voted.
type Member struct {
	// ID is the name of the process. A replacement VM of the same name keeps it.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Incarnation is higher with each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is higher with each change of the record within an incarnation.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
	// Final is the state that is irreversible within the incarnation: draining, left, or 0 for none.
	Final State `json:"final,omitempty"`
	// Region and DataCentre are the location of the member's VM.
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// PacketAddr is the address of the packet socket (UDP).
	PacketAddr netip.AddrPort `json:"packetAddr"`
	// ControlAddr is the host:port at which a balancer serves control calls, or at which an agent accepts requests of
	// other agents; an agent's may be empty.
	ControlAddr string `json:"controlAddr,omitempty"`
	// Service is the service name that a target announces.
	Service string `json:"service,omitempty"`
	// Version is the version that a target announces.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that a target runs concurrently.
	Slots uint32 `json:"slots,omitempty"`
	// Connections is the maximum number of open flows of a target.
	Connections uint32 `json:"connections,omitempty"`
	// Weight is a target's announced capacity relative to the other targets; 0 means Slots, or 1 without slots.
	Weight uint32 `json:"weight,omitempty"`
	// ActiveSince is when the member became active.
	ActiveSince time.Time `json:"activeSince,omitzero"`
	// Changed is the wall clock time of the last change of the record; the lifetime of a tombstone begins at it.
	Changed time.Time `json:"changed,omitzero"`
	// Unreachable is set on members of a region that the local process can't reach. It is neither sent nor stored.
	Unreachable bool `json:"-"`
}

// Capacity returns the announced capacity: Weight if set, else Slots if set, else 1.
func (m *Member) Capacity() uint32 {
	if m.Weight > 0 {
		return m.Weight
	}
	return max(m.Slots, 1)
}

// Live reports whether the member has a state and is neither dead nor left.
func (m *Member) Live() bool {
	return m.State != 0 && !m.State.Gone()
}

// Valid reports whether the record may be merged: it has an ID, an incarnation, a known role, a known state and a valid
// final state.
func (m *Member) Valid() bool {
	if m.ID == "" || m.Incarnation == 0 {
		return false
	}
	if m.Role != RoleAgent && m.Role != RoleBalancer {
		return false
	}
	if m.State < StateJoining || m.State > StateLeft {
		return false
	}
	return m.Final == 0 || m.Final == StateDraining || m.Final == StateLeft
}

// normalise makes State and Final consistent and truncates the times to milliseconds in UTC, so that records can be
// compared with ==.
func (m *Member) normalise() {
	m.ActiveSince = milliseconds(m.ActiveSince)
	m.Changed = milliseconds(m.Changed)
	m.Final = max(m.Final, m.State.final())
	if m.Final == StateLeft {
		m.State = StateLeft
	}
	if m.Final == StateDraining && m.State < StateDraining {
		m.State = StateDraining
	}
}

func milliseconds(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return time.UnixMilli(t.UnixMilli()).UTC()
}

// merged returns the join of two records of one member; it is commutative, associative and idempotent. The higher
// (incarnation, sequence) wins, but a final state persists for the whole incarnation, even when the record that set it
// arrives late.
func merged(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		return laterOf(a, b)
	}
	w := laterOf(a, b)
	w.Final = max(a.Final, b.Final)
	w.normalise()
	return w
}

// laterOf returns the record that wins if final states are ignored.
func laterOf(a, b Member) Member {
	if compareRecords(&a, &b) < 0 {
		return b
	}
	return a
}

// compareRecords orders records by incarnation and sequence. Records with the same sequence differ only in their state,
// unless two processes use the same name; then their content decides, so that all tables still converge.
func compareRecords(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		compareContent(a, b),
		cmp.Compare(a.State, b.State),
	)
}

func compareContent(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.DataCentre, b.DataCentre),
		a.PacketAddr.Compare(b.PacketAddr),
		cmp.Compare(a.ControlAddr, b.ControlAddr),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Connections, b.Connections),
		cmp.Compare(a.Weight, b.Weight),
		a.ActiveSince.Compare(b.ActiveSince),
	)
}
