package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

// coldOf reads what an agent says of its target while that warms up; a message without it has no limit.
func coldOf(now time.Time, m *dsrpb.Cold) warmup.Limit {
	if m == nil {
		return warmup.Limit{}
	}
	return warmup.Limit{
		PerSecond: float64(m.PerSecond),
		Room:      int(m.Room),
		Until:     now.Add(time.Duration(m.LeftMs) * time.Millisecond),
	}
}

// coldNow is what the target takes now by the last report: what it had room for then, and what has become free since.
func (a *agent) coldNow(now time.Time) warmup.Limit {
	l := a.cold
	freed := l.PerSecond * now.Sub(a.reported).Seconds()
	l.Room = int(min(float64(l.Room)+freed, l.PerSecond))
	return l
}
