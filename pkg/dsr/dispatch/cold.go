package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

// coldLimitOf reads the reported limit of a target that warms up; a message without one means no limit.
func coldLimitOf(now time.Time, m *dsrpb.Cold) warmup.Limit {
	if m == nil {
		return warmup.Limit{}
	}
	return warmup.Limit{
		PerSecond: float64(m.PerSecond),
		Room:      int(m.Room),
		Until:     now.Add(time.Duration(m.LeftMs) * time.Millisecond),
	}
}

// coldLimitAt returns the limit with its room extrapolated from the last report: it grows by the rate, up to one
// second's worth of flows.
func (a *agent) coldLimitAt(now time.Time) warmup.Limit {
	l := a.coldLimit
	freed := l.PerSecond * now.Sub(a.reported).Seconds()
	l.Room = int(min(float64(l.Room)+freed, l.PerSecond))
	return l
}
