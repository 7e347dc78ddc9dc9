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
	// RoutineLinesPerSecond and RoutineBurst bound the lines of level info and below: a line costs about 3 us, so that at
	// the bound logging takes a thousandth of a processor.
	RoutineLinesPerSecond = 400
	RoutineBurst          = 800
	// ImportantLinesPerSecond and ImportantBurst bound the lines of warnings and errors, which refusals, changes of belief and
	// dependencies have. Anybody can send packets that have to be refused; at the bound logging takes about one hundredth of a
	// processor. A change of every agent of a large data centre fits into the burst.
	ImportantLinesPerSecond = 2000
	ImportantBurst          = 4000
	// logQueue is the number of lines that wait for the output; routine lines may take half of it.
	logQueue = 4096
	// flushTime bounds the writing of what is left when the daemon ends.
	flushTime = 500 * time.Millisecond
	// droppedInterval is the least time between two lines that count what was dropped.
	droppedInterval = time.Second
)

// LogWriter writes log lines from a goroutine of its own, so that a slow or stuck reader of the output blocks nobody. Lines
// that do not fit are counted, by whether they are routine, and the count is logged as soon as a line can be written again.
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

// NewLogWriter starts writing to w.
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

// Write implements io.Writer; lines without a level are not routine.
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

// allow reports whether a line may be written now.
func (l *LogWriter) allow(routine bool) bool {
	if routine && len(l.lines) >= logQueue/2 {
		return false
	}
	if routine {
		return l.routine.AllowN(l.now(), 1)
	}
	return l.important.AllowN(l.now(), 1)
}

// Dropped returns the numbers of lines that were left out since the start: routine ones and others.
func (l *LogWriter) Dropped() (routine, important uint64) {
	return l.droppedRoutine.Load(), l.droppedImportant.Load()
}

// Close writes what is left, for flushTime at most. Nothing may be written afterwards.
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

// dropReport logs how many lines were left out.
type dropReport struct {
	log        zerolog.Logger
	reported   uint64
	reportedAt time.Time
}

// report writes the counts when they have changed.
func (r *dropReport) report(l *LogWriter) {
	routine, important := l.Dropped()
	if routine+important == r.reported {
		return
	}
	r.reported, r.reportedAt = routine+important, l.now()
	r.log.Warn().Str("op", "log").Uint64("dropped_routine", routine).Uint64("dropped_important", important).
		Msg("lines were left out since the start")
}
