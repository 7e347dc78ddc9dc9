package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A pipe without a reader must not block the daemon, and dropped lines must be counted.
func TestStuckReaderDoesNotBlockLogging(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	defer w.Close()
	l := NewLogWriter(w)
	log := zerolog.New(l)
	const lines = 3 * logQueue
	for i := range lines {
		log.Warn().Str("op", "refuse").Int("n", i).Str("detail", strings.Repeat("x", 200)).Msg("flow refused")
		log.Info().Str("op", "placed").Int("n", i).Msg("flow")
	}
	routine, important := l.Dropped()
	require.Positive(t, important, "no important line was dropped")
	require.Positive(t, routine)
	require.LessOrEqual(t, uint64(lines)-important, uint64(logQueue+1000), "more lines were kept than the queue holds")
}

func TestRoutineLinesAreLimitedSeparately(t *testing.T) {
	var out lockedBuffer
	l := NewLogWriter(&out)
	start := time.Unix(1000, 0)
	l.now = func() time.Time { return start }
	log := zerolog.New(l)
	for range RoutineBurst + 100 {
		log.Info().Msg("flow")
	}
	for range 200 {
		log.Warn().Msg("refused")
	}
	l.Close()
	require.Equal(t, 200, strings.Count(out.String(), `"refused"`))
	require.Equal(t, RoutineBurst, strings.Count(out.String(), `"flow"`))
	require.Contains(t, out.String(), `"dropped_routine":100`)
	routine, important := l.Dropped()
	require.Equal(t, []uint64{100, 0}, []uint64{routine, important})
}

func TestRateLimitsRefillOverTime(t *testing.T) {
	for routine, rate := range map[bool]int{true: RoutineLinesPerSecond, false: ImportantLinesPerSecond} {
		l := NewLogWriter(io.Discard)
		now := time.Unix(1000, 0)
		l.now = func() time.Time { return now }
		l.routine.AllowN(now, RoutineBurst)
		l.important.AllowN(now, ImportantBurst)
		require.False(t, l.allow(routine))
		now = now.Add(time.Second)
		for range rate {
			require.True(t, l.allow(routine))
		}
		require.False(t, l.allow(routine))
		l.Close()
	}
}

// A flood of important lines is limited, and every dropped line is counted.
func TestImportantLinesAreLimitedAndDropsCounted(t *testing.T) {
	var out lockedBuffer
	l := NewLogWriter(&out)
	start := time.Now()
	l.now = func() time.Time { return start }
	log := zerolog.New(l)
	const flood = ImportantBurst + 500
	for range flood {
		log.Warn().Msg("refused")
	}
	l.Close()
	written := strings.Count(out.String(), `"refused"`)
	_, important := l.Dropped()
	require.LessOrEqual(t, written, ImportantBurst)
	require.Equal(t, flood, written+int(important))
	require.Contains(t, out.String(), fmt.Sprintf(`"dropped_important":%d`, important))
}

func BenchmarkLogWriter(b *testing.B) {
	for _, level := range []string{"info", "error"} {
		b.Run(fmt.Sprint("level=", level), func(b *testing.B) {
			parsed, err := zerolog.ParseLevel(level)
			require.NoError(b, err)
			l := NewLogWriter(new(bytes.Buffer))
			log := zerolog.New(l).Level(parsed)
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("op", "placed").Uint64("flow", 12659442716161980699).Str("service", "route-svc").
					Int("tried", 1).Float64("load", 0.33).Msg("flow")
			}
		})
	}
}
