package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Bounds of a daemon's log.
const (
	// RoutineLinesPerSecond and RoutineBurst limit the lines of level info and below. A line costs about 3 us, so logging
	// at this rate takes about 0.1 % of a CPU.
	RoutineLinesPerSecond = 400
	RoutineBurst          = 800
	// ImportantLinesPerSecond and ImportantBurst limit the lines of warnings and errors, such as refusals and state changes
	// of agents and dependencies. Anyone can send packets that must be refused; logging at this rate takes about 1 % of a
	// CPU. The burst has room for a state change of every agent of a large data centre.
	ImportantLinesPerSecond = 2000
	ImportantBurst          = 4000
	// logQueue is the capacity of the output queue in lines; routine lines may use half of it.
	logQueue = 4096
	// flushTime is the maximum time for writing the queued lines when the daemon exits.
	flushTime = 500 * time.Millisecond
	// droppedInterval is the minimum time between two reports of dropped lines.
	droppedInterval = time.Second
)

// LogWriter writes log lines from a goroutine of its own, so that a slow or stuck reader of the output does not block the
// daemon. Lines that exceed the rate or the queue are dropped and counted, routine and other lines separately, and the
// counts are logged once a line can be written again.
type LogWriter struct {
	lines chan []byte
	done  chan struct{}
	now   func() time.Time

	routine   *rate.Limiter
	important *rate.Limiter

	droppedRoutine   atomic.Uint64
	droppedImportant atomic.Uint64
}

var _ zerolog.LevelWriter = (*LogWriter)(nil)

// NewLogWriter returns a LogWriter that writes to w. The caller must Close it.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{
		lines:     make(chan []byte, logQueue),
		done:      make(chan struct{}),
		now:       time.Now,
		routine:   rate.NewLimiter(RoutineLinesPerSecond, RoutineBurst),
		important: rate.NewLimiter(ImportantLinesPerSecond, ImportantBurst),
	}
	go l.run(w)
	return l
}

// Write implements io.Writer. Lines without a level count as warnings.
func (l *LogWriter) Write(p []byte) (int, error) {
	return l.WriteLevel(zerolog.WarnLevel, p)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks.
func (l *LogWriter) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	routine := level <= zerolog.InfoLevel
	if !l.allow(routine) {
		l.drop(routine)
		return len(p), nil
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.drop(routine)
	}
	return len(p), nil
}

func (l *LogWriter) drop(routine bool) {
	if routine {
		l.droppedRoutine.Add(1)
		return
	}
	l.droppedImportant.Add(1)
}

// allow reports whether a line is within the rate limit and the queue limit for routine lines.
func (l *LogWriter) allow(routine bool) bool {
	if routine && len(l.lines) >= logQueue/2 {
		return false
	}
	if routine {
		return l.routine.AllowN(l.now(), 1)
	}
	return l.important.AllowN(l.now(), 1)
}

// Dropped returns the numbers of lines dropped since the start: routine lines and others.
func (l *LogWriter) Dropped() (routine, important uint64) {
	return l.droppedRoutine.Load(), l.droppedImportant.Load()
}

// Close waits for the queued lines to be written, for at most flushTime. Nothing may be written after Close.
func (l *LogWriter) Close() {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(flushTime):
	}
}

// run writes the lines until Close.
func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	r := dropReport{log: zerolog.New(w).Hook(timestamp{})}
	for line := range l.lines {
		_, _ = w.Write(line)
		if l.now().Sub(r.reportedAt) >= droppedInterval {
			r.report(l)
		}
	}
	r.report(l)
}

// dropReport logs the numbers of dropped lines.
type dropReport struct {
	log        zerolog.Logger
	reported   uint64
	reportedAt time.Time
}

// report logs the counts if they have changed since the last report.
func (r *dropReport) report(l *LogWriter) {
	routine, important := l.Dropped()
	if routine+important == r.reported {
		return
	}
	r.reported, r.reportedAt = routine+important, l.now()
	r.log.Warn().Str("op", "log").Uint64("dropped_routine", routine).Uint64("dropped_important", important).
		Msg("log lines dropped since the start")
}
