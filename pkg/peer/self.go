package peer

import (
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// self is the record that a process announces about itself.
type self struct {
	now func() time.Time

	mu      sync.Mutex
	member  membership.Member
	changed chan struct{}
}

func newSelf(m membership.Member, now func() time.Time) *self {
	m.Sequence = max(m.Sequence, 1)
	m.Changed = now()
	return &self{now: now, member: m, changed: make(chan struct{}, 1)}
}

func (s *self) get() membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member
}

// update changes the record, except its ID and incarnation, and raises its sequence.
func (s *self) update(f func(m *membership.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.member
	f(&s.member)
	s.member.ID, s.member.Incarnation = before.ID, before.Incarnation
	s.raiseSequence(before.Sequence)
}

// refute raises the sequence above that of seen, a record that others hold of this incarnation, when seen is wrong, and
// reports whether it did. A record of a higher incarnation belongs to another process of the same name.
func (s *self) refute(seen membership.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen.ID != s.member.ID || seen.Incarnation != s.member.Incarnation {
		return false
	}
	if seen.Sequence < s.member.Sequence {
		return false
	}
	if seen.Sequence == s.member.Sequence && seen.State == s.member.State {
		return false
	}
	s.raiseSequence(seen.Sequence)
	return true
}

func (s *self) raiseSequence(above uint64) {
	s.member.Sequence = above + 1
	s.member.Changed = s.now()
	s.scheduleAnnounce()
}

// scheduleAnnounce signals that the current record is to be announced.
func (s *self) scheduleAnnounce() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
