package lease

import (
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// State decides, without I/O, when to read, acquire, renew or release a lease.
// The caller must pass the time just before it executes the returned action. State is not safe for concurrent use.
type State struct {
	cfg Config

	known   bool
	version uint64
	record  Record
	// since is when this process first saw version.
	since time.Time
	// readAt is when the object is to be read again.
	readAt time.Time
	// retryAt is the earliest time of the next call after a failure.
	retryAt time.Time

	term      uint64
	held      bool
	until     time.Time
	renewAt   time.Time
	releasing bool

	writes  uint64
	pending *pendingWrite
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	base   uint64
	record Record
	// sent is when the write was first sent; others cannot have seen it earlier.
	sent time.Time
	// outcomeUnknown is set once a response was lost: the write may still take effect at any later time.
	outcomeUnknown bool
	// verify requests a read before any other action.
	verify bool
}

// NewState returns the state of a process that has not read the lease yet.
func NewState(cfg Config) *State { return &State{cfg: cfg} }

// Term returns the term under which this process holds the lease at time now, and false when it holds none.
func (s *State) Term(now time.Time) (uint64, bool) {
	return s.term, s.held && now.Before(s.until)
}

// Until returns the end of the validity as of the last confirmed write.
func (s *State) Until() time.Time { return s.until }

// Holder returns the last seen holder, for logs and status.
func (s *State) Holder() string { return s.record.Holder }

// Release makes the next steps release the lease and stops acquisition.
func (s *State) Release() { s.releasing = true }

// Released reports whether the release is complete: no lease is held and no write is pending.
func (s *State) Released() bool { return s.releasing && !s.held && s.pending == nil }

// Step applies an observation and returns the next action.
func (s *State) Step(now time.Time, o Observation) Action {
	s.observe(now, o)
	if s.held && !now.Before(s.until) {
		s.held = false
	}
	return s.next(now)
}

func (s *State) observe(now time.Time, o Observation) {
	switch o.Kind {
	case ObservedObject:
		s.recordSeen(now, o.Version, o.Record)
		s.resolvePending(now)
	case ObservedAbsent:
		s.recordSeen(now, 0, Record{})
		s.resolvePending(now)
	case ObservedWritten:
		s.recordSeen(now, o.Version, s.pending.record)
		s.confirmPending()
	case ObservedConflict:
		s.pending.verify = true
	case ObservedUnavailable:
		s.recordFailure(now)
	case ObservedUnknown:
		s.pending.outcomeUnknown = true
		s.pending.verify = true
		s.retryAt = now.Add(s.cfg.retryDelay())
	}
}

func (s *State) recordSeen(now time.Time, version uint64, r Record) {
	s.readAt = now.Add(s.cfg.pollInterval())
	if s.known && version == s.version {
		return
	}
	s.known = true
	s.version = version
	s.record = r
	s.since = now
}

// resolvePending determines the outcome of a pending write from the token that was read back.
func (s *State) resolvePending(now time.Time) {
	p := s.pending
	if p == nil {
		return
	}
	p.verify = false
	if s.record.Token == p.record.Token {
		s.confirmPending()
		return
	}
	if s.version == p.base && p.outcomeUnknown {
		// Sending the same write again is safe: its condition lets it take effect at most once.
		return
	}
	s.pending = nil
	s.held = false
	s.readAt = now.Add(s.cfg.pollInterval())
}

// confirmPending applies a pending write that has taken effect. A lease that was written in a later era than that of its
// term is not held: another process may have acquired it in the earlier era, or have had the following term. It is
// acquired again, with a term of the later era.
func (s *State) confirmPending() {
	p := s.pending
	s.pending = nil
	s.term = p.record.Term
	s.held = p.record.Holder == s.cfg.Holder && objectapi.EraOf(s.version) == objectapi.EraOf(s.term)
	s.until = p.sent.Add(s.cfg.validity())
	s.renewAt = p.sent.Add(s.cfg.renewInterval())
}

func (s *State) recordFailure(now time.Time) {
	s.retryAt = now.Add(s.cfg.retryDelay())
	if s.pending != nil && !s.pending.outcomeUnknown {
		s.pending = nil
	}
}

func (s *State) next(now time.Time) Action {
	if now.Before(s.retryAt) {
		return Action{Kind: ActionWait, At: s.retryAt}
	}
	if s.pending != nil {
		return s.continuePending()
	}
	if s.releasing {
		return s.release(now)
	}
	if s.held {
		return s.renew(now)
	}
	return s.acquire(now)
}

func (s *State) continuePending() Action {
	if s.pending.verify {
		return Action{Kind: ActionRead}
	}
	return s.send()
}

func (s *State) release(now time.Time) Action {
	if !s.held {
		return Action{Kind: ActionWait, At: now.Add(s.cfg.pollInterval())}
	}
	return s.write(now, Record{Term: s.term})
}

func (s *State) renew(now time.Time) Action {
	if now.Before(s.renewAt) {
		return Action{Kind: ActionWait, At: s.renewAt}
	}
	return s.write(now, Record{Holder: s.cfg.Holder, Term: s.term})
}

func (s *State) acquire(now time.Time) Action {
	if !s.known || !now.Before(s.readAt) {
		return Action{Kind: ActionRead}
	}
	free := s.freeAt()
	if now.Before(free) {
		return Action{Kind: ActionWait, At: earlier(free, s.readAt)}
	}
	last := max(s.record.Term, objectapi.EraStart(s.version))
	return s.write(now, Record{Holder: s.cfg.Holder, Term: last + 1})
}

// freeAt returns when this process may acquire the lease, given the last seen record.
func (s *State) freeAt() time.Time {
	if s.version == 0 || s.record.Holder == "" || s.record.Holder == s.cfg.Holder {
		return s.since
	}
	return s.since.Add(time.Duration(s.record.Duration))
}

func (s *State) write(now time.Time, r Record) Action {
	s.writes++
	r.Duration = resource.Duration(s.cfg.duration())
	r.Token = s.cfg.Holder + "/" + strconv.FormatUint(s.writes, 10)
	s.pending = &pendingWrite{base: s.version, record: r, sent: now}
	return s.send()
}

func (s *State) send() Action {
	p := s.pending
	if p.base == 0 {
		return Action{Kind: ActionCreate, Record: p.record}
	}
	return Action{Kind: ActionUpdate, Version: p.base, Record: p.record}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
