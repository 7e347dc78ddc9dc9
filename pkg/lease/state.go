package lease

import (
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// State decides, without I/O, when to read, acquire, renew or release a lease.
// The caller passes the time just before it carries out the returned action. State is not safe for concurrent use.
type State struct {
	cfg Config

	known   bool
	version uint64
	record  Record
	// since is when this process first saw version.
	since time.Time
	// readAt is when the object is read again.
	readAt time.Time
	// retryAt holds calls back after a failure.
	retryAt time.Time

	term      uint64
	held      bool
	until     time.Time
	renewAt   time.Time
	releasing bool

	writes  uint64
	pending *pendingWrite
}

// pendingWrite is a write whose effect is not known yet.
type pendingWrite struct {
	base   uint64
	record Record
	// sent is when the write was sent first; an observer cannot have seen it earlier.
	sent time.Time
	// unsure is set once an answer was lost: the write may take effect at any later time.
	unsure bool
	// verify asks for a read before anything else.
	verify bool
}

// NewState returns the state of a process that knows nothing of the lease yet.
func NewState(cfg Config) *State { return &State{cfg: cfg} }

// Term returns the term under which this process holds the lease at time now, and false when it holds none.
func (s *State) Term(now time.Time) (uint64, bool) {
	return s.term, s.held && now.Before(s.until)
}

// Until returns the end of the validity that is known so far.
func (s *State) Until() time.Time { return s.until }

// Holder returns the holder that was seen last, for logs and status.
func (s *State) Holder() string { return s.record.Holder }

// Release makes the next steps give the lease back. Acquisition stops.
func (s *State) Release() { s.releasing = true }

// Released reports whether nothing is left to give back.
func (s *State) Released() bool { return s.releasing && !s.held && s.pending == nil }

// Step takes in what was observed and returns what to do next.
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
		s.see(now, o.Version, o.Record)
		s.resolve(now)
	case ObservedAbsent:
		s.see(now, 0, Record{})
		s.resolve(now)
	case ObservedWritten:
		s.see(now, o.Version, s.pending.record)
		s.confirm()
	case ObservedConflict:
		s.pending.verify = true
	case ObservedUnavailable:
		s.unavailable(now)
	case ObservedUnknown:
		s.pending.unsure = true
		s.pending.verify = true
		s.retryAt = now.Add(s.cfg.retryAfter())
	}
}

func (s *State) see(now time.Time, version uint64, r Record) {
	s.readAt = now.Add(s.cfg.pollEvery())
	if s.known && version == s.version {
		return
	}
	s.known = true
	s.version = version
	s.record = r
	s.since = now
}

// resolve settles a pending write by the token that was read back.
func (s *State) resolve(now time.Time) {
	p := s.pending
	if p == nil {
		return
	}
	p.verify = false
	if s.record.Token == p.record.Token {
		s.confirm()
		return
	}
	if s.version == p.base && p.unsure {
		// Sending the same write again is safe: its condition lets it take effect once at most.
		return
	}
	s.pending = nil
	s.held = false
	s.readAt = now.Add(s.cfg.pollEvery())
}

// confirm takes a write that has taken effect. A lease that was written in a later era than that of its term is not held: another process may
// have taken it in the era before, or may have had the term that follows. It is taken again, with a term of the later era.
func (s *State) confirm() {
	p := s.pending
	s.pending = nil
	s.term = p.record.Term
	s.held = p.record.Holder == s.cfg.Holder && objectapi.EraOf(s.version) == objectapi.EraOf(s.term)
	s.until = p.sent.Add(s.cfg.validity())
	s.renewAt = p.sent.Add(s.cfg.renewEvery())
}

func (s *State) unavailable(now time.Time) {
	s.retryAt = now.Add(s.cfg.retryAfter())
	if s.pending != nil && !s.pending.unsure {
		s.pending = nil
	}
}

func (s *State) next(now time.Time) Action {
	if now.Before(s.retryAt) {
		return Action{Kind: ActionWait, At: s.retryAt}
	}
	if s.pending != nil {
		return s.settle()
	}
	if s.releasing {
		return s.release(now)
	}
	if s.held {
		return s.renew(now)
	}
	return s.acquire(now)
}

func (s *State) settle() Action {
	if s.pending.verify {
		return Action{Kind: ActionRead}
	}
	return s.send()
}

func (s *State) release(now time.Time) Action {
	if !s.held {
		return Action{Kind: ActionWait, At: now.Add(s.cfg.pollEvery())}
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

// freeAt returns when this process may take the lease, by what it has seen.
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
