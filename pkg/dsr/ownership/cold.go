package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

const (
	// unknownHistory is how long an agent that started beside a running target does not know how many flows an
	// earlier agent gave it: slightly more than the window over which new flows are counted.
	unknownHistory = time.Second + time.Millisecond
	// minRestartDelay is the least time between the end of a process and the start of its successor under a
	// supervisor.
	minRestartDelay = 100 * time.Millisecond
)

// coldState is the agent's view of its target's warm-up.
type coldState struct {
	// perSecond and warmUp are what operators declare for the service, version is the configuration that declares it.
	perSecond float64
	warmUp    time.Duration
	version   uint64
	// window counts the flows that were given to the target, learner estimates how many it can take.
	window  warmup.Window
	learner warmup.Learner
}

// applyDeclaredLimits takes the limits that operators declare for cold targets from a balancer's new flow. Those of
// an earlier configuration are ignored.
func (t *Table) applyDeclaredLimits(m *dsrpb.Message) {
	if m.Opening == nil || m.Configuration < t.cold.version {
		return
	}
	t.cold.version = m.Configuration
	t.cold.perSecond = float64(m.Opening.ColdPerSecond)
	t.cold.warmUp = time.Duration(m.Opening.WarmUpMs) * time.Millisecond
}

// warmAt is when the target is warm: as it reports, or the whole warm-up after it was first seen or its data centre
// was last evacuated.
func (t *Table) warmAt() time.Time {
	if t.target.warmAtKnown {
		return t.target.warmAt
	}
	return t.target.coldFrom.Add(t.cold.warmUp)
}

// recordNewFlow counts a new flow that is passed to the target.
func (t *Table) recordNewFlow(now time.Time) {
	t.rate.Record(now)
	t.cold.window.Record(now)
	t.cold.learner.RecordFlows(t.cold.window.Count())
}

// recordIncarnationEnd records that the target's last incarnation has ended without draining or deregistering.
func (t *Table) recordIncarnationEnd(now time.Time, last target) {
	if last.known && !last.left && last.last.State == announcement.Ready {
		t.cold.learner.RecordEnd(now.Sub(last.firstSeen))
	}
}

// coldRate returns the limit on new flows in any second: the one that operators declare for warming targets, or a lower
// one where earlier incarnations have failed at less.
func (t *Table) coldRate(now time.Time) warmup.Limit {
	var l warmup.Limit
	if !t.cfg.Without.ColdLimit {
		l = warmup.Limit{PerSecond: t.cold.perSecond, Until: t.warmAt()}
	}
	age := now.Sub(t.target.firstSeen)
	learned := t.cold.learner.Rate(age)
	if learned == 0 || t.cfg.Without.LearntLimit || l.InForce(now) && l.PerSecond <= learned {
		return l
	}
	return warmup.Limit{PerSecond: learned, Until: t.target.firstSeen.Add(warmup.EarlyFailureAge)}
}

// historyUnknownUntil returns when an agent that started beside a running target knows all flows that the target got in
// the last second.
func (t *Table) historyUnknownUntil() time.Time {
	if t.cfg.First || t.target.sawFirstAnnouncement || t.startedTogether() {
		return time.Time{}
	}
	return t.started.Add(unknownHistory)
}

// startedTogether reports whether the target started so shortly before the agent that an earlier agent had ended by
// then, as after a power failure. The target's age follows from what is left of its warm-up.
func (t *Table) startedTogether() bool {
	if !t.target.warmAtKnown {
		return false
	}
	targetStarted := t.target.warmAt.Add(-t.cold.warmUp)
	return targetStarted.After(t.started.Add(-minRestartDelay))
}

// ColdPerSecond is the number of new flows that the target takes in any second while it is cold; 0 when it is warm.
func (t *Table) ColdPerSecond(now time.Time) float64 { return t.coldLimit(now).PerSecond }

// hasRoom reports whether the warm-up limit allows a new flow.
func (t *Table) hasRoom(now time.Time) bool {
	l := t.coldLimit(now)
	return !l.InForce(now) || l.Room > 0
}

// coldLimit is the current warm-up limit; no limit when the target is warm.
func (t *Table) coldLimit(now time.Time) warmup.Limit {
	l := t.coldRate(now)
	if !l.InForce(now) {
		return warmup.Limit{}
	}
	if !now.Before(t.historyUnknownUntil()) {
		l.Room = t.cold.window.Room(now, l.PerSecond)
	}
	return l
}

// nextRoomAt is when the queue of a cold target without room is checked again.
func (t *Table) nextRoomAt(now time.Time) time.Time {
	l := t.coldRate(now)
	at := t.cold.window.Next(l.PerSecond)
	if unseen := t.historyUnknownUntil(); unseen.After(at) {
		at = unseen
	}
	if l.Until.Before(at) {
		at = l.Until
	}
	return at
}

// reportedCold is what is reported to balancers about a cold target; nil when it is warm.
func (t *Table) reportedCold(now time.Time) *dsrpb.Cold {
	l := t.coldLimit(now)
	if !l.InForce(now) {
		return nil
	}
	t.coldMsg = dsrpb.Cold{
		PerSecond: float32(l.PerSecond),
		Room:      uint32(l.Room),
		LeftMs:    uint32(l.Until.Sub(now)/time.Millisecond) + 1,
	}
	return &t.coldMsg
}
