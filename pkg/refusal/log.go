package refusal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

var _ Recorder = (*Log)(nil)

// Log is the Recorder of a process. It holds records in memory, mirrors them to a peer and writes them in batches; Run
// does the I/O. It is safe for concurrent use.
type Log struct {
	cfg      Config
	origin   string
	counters counters
	// wake signals the mirror loop that there are records.
	wake chan struct{}
	// draining is closed, once, by drain when Drain begins.
	draining chan struct{}
	drain    sync.Once

	// writeMu serialises writes of objects.
	writeMu sync.Mutex

	mu      sync.Mutex
	streams *streams
	// held are the own records since the last generation was closed.
	held *pool
	// oldest is when the first record of held was added.
	oldest time.Time
	// writing is the generation that is being written to the store, or nil.
	writing  *generation
	sequence uint64
	pacer    pacer
	// queue holds the records that the peer does not have yet.
	queue *pool
	// inCall is the number of records in the current mirror call.
	inCall int
	// progress is closed and replaced after a successful mirror call and when a generation is written.
	progress chan struct{}
	adopted  map[adoptionKey]*pool
	// receipts are waiting to be sent to the peer.
	receipts []Record
	// recent are the recently written objects.
	recent recentObjects
	// nextRewrite is when the next lost object is written again; only Run uses it.
	nextRewrite time.Time
	// retainUntil is when a process that hands its records over releases those of the last generation.
	retainUntil time.Time
	stats       Stats
}

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
		draining: make(chan struct{}),
		streams:  newStreams(origin),
		held:     newPool(poolLimit(cfg.MaxHeld)),
		pacer:    pacer{min: cfg.MinInterval, max: cfg.MaxInterval, rand: cfg.Rand},
		queue:    newPool(cfg.MaxQueue),
		progress: make(chan struct{}),
		adopted:  make(map[adoptionKey]*pool),
	}
}

// poolLimit returns half the limit, because one generation may be on its way to the store while the next one fills.
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
	sanitize(&r, l.cfg.Now())
	if r.DecidedBy == "" {
		r.DecidedBy = l.cfg.Process
	}
	r.Count = max(r.Count, 1)
	id := l.addRecord(r)
	l.counters.recorded.Inc(int64(r.Count))
	l.signal()
	return id
}

// signal wakes the mirror loop.
func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// addRecord holds a complete record and returns its ID.
func (l *Log) addRecord(r Record) string {
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
	l.addEntry(e)
	return e.record.ID
}

// addEntry holds an entry and queues it for the mirror; l.mu is held.
func (l *Log) addEntry(e entry) {
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

// unwritten returns the entries that are not known to be in the store; l.mu is held.
func (l *Log) unwritten() []entry {
	var out []entry
	if l.writing != nil {
		out = append(out, l.writing.entries...)
	}
	return append(out, l.held.all()...)
}

// Stats returns the current counts.
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
