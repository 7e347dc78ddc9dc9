package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

const (
	// minLateReportGap and maxLateReportGap bound the time between two late reports.
	minLateReportGap = 50 * time.Millisecond
	maxLateReportGap = 600 * time.Millisecond
	// lateReportTimeout bounds the wait for the answer to a late report.
	lateReportTimeout = time.Second
)

// reportLate has reports of processes that have ended arrive at their agents, until ctx ends.
func (f *faults) reportLate(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, between(random, minLateReportGap, maxLateReportGap)) == nil {
		a := f.w.agents[random.IntN(len(f.w.agents))]
		n, ok := a.target.lateReport(random)
		if !ok {
			continue
		}
		f.start(a.name+": a late report of "+n.ID, func() {
			call, cancel := context.WithTimeout(ctx, lateReportTimeout)
			defer cancel()
			// The agent may acknowledge or reject the report, or be down.
			_ = platformtest.Heartbeat(call, a.target.control, n)
		})
	}
}

// lateReport returns a further report of one of the processes that have ended, and whether there is one.
func (t *target) lateReport(random *rand.Rand) (announcement.Announcement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.earlier) == 0 {
		return announcement.Announcement{}, false
	}
	n := &t.earlier[random.IntN(len(t.earlier))]
	n.Sequence++
	n.State = announcement.State(random.IntN(2))
	return *n, true
}
