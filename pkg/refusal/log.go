package refusal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

var _ Recorder = (*Log)(nil)

// Log is the Recorder of a process. It holds the records, hands them to a peer and writes them in batches; Run does
// the input and output. Safe for concurrent use.
type Log struct {
	cfg      Config
	origin   string
	counters counters
	// wake tells the mirror loop that there are records.
	wake chan struct{}

	// writeMu lets one object be written at a time.
	writeMu sync.Mutex

	mu      sync.Mutex
	streams *streams
	// held are the own records since the last generation was closed.
	held *pool
	// oldest is when the first of held came.
	oldest time.Time
	// writing is the generation that is on its way to the store; nil when there is none.
	writing  *generation
	sequence uint64
	pace     pace
	// queue are the records that the peer does not have yet.
	queue *pool
	// inCall is the number of records in the current call of the mirror.
	inCall int
	// moved is closed and replaced when the mirror took records.
	moved   chan struct{}
	adopted map[adoptionKey]*pool
	// receipts wait to be sent to the peer.
	receipts []Record
	// recent are the objects written lately.
	recent recentObjects
	// lostTurn is when an object that was lost is written again next; used by Run alone.
	lostTurn time.Time
	// retainUntil is when a process without a store forgets the generation that it has handed over.
	retainUntil time.Time
	stats       Stats
}

// NewLog returns an empty log.
func NewLog(cfg Config) *Log {
	cfg = cfg.withDefaults()
	if cfg.Eras == nil {
		cfg.Eras = objectapi.NewEras()
	}
	origin := originOf(cfg.Process, cfg.Incarnation)
	return &Log{
		cfg:      cfg,
		origin:   origin,
		counters: newCounters(cfg.Scope),
		wake:     make(chan struct{}, 1),
		streams:  newStreams(origin),
		held:     newPool(poolLimit(cfg.MaxHeld)),
		pace:     pace{min: cfg.MinInterval, max: cfg.MaxInterval, rand: cfg.Rand},
		queue:    newPool(cfg.MaxQueue),
		moved:    make(chan struct{}),
		adopted:  make(map[adoptionKey]*pool),
	}
}

// poolLimit halves the limit, since a generation may be on its way to the store while the next one fills.
func poolLimit(n int) int {
	return max(1, n/2)
}

// Run mirrors and writes records until the context ends, and returns the context's error. Call Drain afterwards.
func (l *Log) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.mirrorLoop(ctx) })
	g.Go(func() error { return l.tickLoop(ctx) })
	return g.Wait()
}

// Record implements Recorder.
func (l *Log) Record(r Record) string {
	bound(&r, l.cfg.Now())
	if r.DecidedBy == "" {
		r.DecidedBy = l.cfg.Process
	}
	r.Count = max(r.Count, 1)
	id := l.hold(r)
	l.counters.recorded.Inc(int64(r.Count))
	l.signal()
	return id
}

// signal tells the mirror loop that there is something to send.
func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// hold puts a complete record into memory and returns its ID.
func (l *Log) hold(r Record) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := entry{record: r}
	if r.ID == "" {
		id := l.streams.next(&r, max(l.held.pressure(), l.queue.pressure()))
		e.record.ID, e.stream, e.first = id.format(), id.stream, id.ordinal
	} else {
		e = entryOf(r)
	}
	l.stats.Recorded += uint64(r.Count)
	l.keep(e)
	return e.record.ID
}

// keep adds an entry to the held ones and queues it for the mirror; l.mu is held.
func (l *Log) keep(e entry) {
	if l.held.len() == 0 {
		l.oldest = l.cfg.Now()
	}
	before := l.held.merged
	l.held.add(e)
	l.counters.merged.Inc(int64(l.held.merged - before))
	if l.cfg.Mirror != nil {
		l.queue.add(e)
	}
}

// Held returns the own records that are not yet in the store.
func (l *Log) Held() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for _, e := range l.unwritten() {
		out = append(out, e.record)
	}
	return out
}

// unwritten are the entries that the store does not have for sure; l.mu is held.
func (l *Log) unwritten() []entry {
	var out []entry
	if l.writing != nil {
		out = append(out, l.writing.entries...)
	}
	return append(out, l.held.all()...)
}

// Stats returns the counts so far.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Held, s.HeldRefusals = l.held.len(), l.held.refusals()
	s.Merged += l.held.merged
	if l.writing != nil {
		s.Held += len(l.writing.entries)
		s.HeldRefusals += l.writing.refusals()
	}
	for _, a := range l.adopted {
		s.Adopted += a.len()
		s.AdoptedRefusals += a.refusals()
	}
	return s
}
