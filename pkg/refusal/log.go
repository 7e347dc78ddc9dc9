package refusal

import (
	"strconv"
	"sync"
	"time"
)

var _ Recorder = (*Log)(nil)

// Config holds the settings of a Log.
type Config struct {
	// Process names the deciding process, and Incarnation its life; together they make record IDs unique.
	Process     string
	Incarnation uint64
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// Log is the Recorder of a process; safe for concurrent use.
type Log struct {
	cfg Config

	mu   sync.Mutex
	next uint64
	held []Record
}

// NewLog returns an empty log.
func NewLog(cfg Config) *Log {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Log{cfg: cfg}
}

// Record implements Recorder.
func (l *Log) Record(r Record) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(&r)
	l.held = append(l.held, r)
	return r.ID
}

// Held returns the records that are not yet written to the store.
func (l *Log) Held() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.held...)
}

// fill sets the fields that the caller left empty; l.mu is held.
func (l *Log) fill(r *Record) {
	if r.ID == "" {
		l.next++
		r.ID = l.cfg.Process + "/" + strconv.FormatUint(l.cfg.Incarnation, 36) + "/" + strconv.FormatUint(l.next, 36)
	}
	if r.Time.IsZero() {
		r.Time = l.cfg.Now()
	}
	if r.Count == 0 {
		r.Count = 1
	}
	if r.DecidedBy == "" {
		r.DecidedBy = l.cfg.Process
	}
}
