package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

const (
	// unseenTime is how long an agent that started beside a living target does not know what an earlier agent handed to it.
	unseenTime = time.Second + time.Millisecond
	// replacedAfter is the least time between the end of a process and the start of the next one, as supervisors of processes have it.
	replacedAfter = 100 * time.Millisecond
)

// coldState is what the agent knows of its target's warm-up.
type coldState struct {
	// perSecond and warmUp are what operators declare of the service, version the configuration that says so.
	perSecond float64
	warmUp    time.Duration
	version   uint64
	// window counts the flows that were handed to the target, learner finds out what it takes.
	window  warmup.Window
	learner warmup.Learner
}

// declared takes what operators declare of cold targets, as a balancer says with a new flow. An earlier configuration than that known
// is left out.
func (t *Table) declared(m *dsrpb.Message) {
	if m.Opening == nil || m.Configuration < t.cold.version {
		return
	}
	t.cold.version = m.Configuration
	t.cold.perSecond = float64(m.Opening.ColdPerSecond)
	t.cold.warmUp = time.Duration(m.Opening.WarmUpMs) * time.Millisecond
}

// warmAt is when the target is warm: as it says, or the whole warm-up after it was first heard of or its data centre was last evacuated.
func (t *Table) warmAt() time.Time {
	if t.target.warmAtKnown {
		return t.target.warmAt
	}
	return t.target.coldFrom.Add(t.cold.warmUp)
}

// handed counts a new flow that the target is handed.
func (t *Table) handed(now time.Time) {
	t.rate.Add(now)
	t.cold.window.Note(now)
	t.cold.learner.Given(t.cold.window.Count())
}

// lifeLost notes that the target's last process has ended without a word.
func (t *Table) lifeLost(now time.Time, last target) {
	if last.known && last.last.State == announcement.Ready {
		t.cold.learner.Ended(now.Sub(last.since))
	}
}

// coldRate is what the target takes in any second: as operators declare for one that warms up, or less where earlier processes have
// ended by less.
func (t *Table) coldRate(now time.Time) warmup.Limit {
	var l warmup.Limit
	if !t.cfg.Without.ColdLimit {
		l = warmup.Limit{PerSecond: t.cold.perSecond, Until: t.warmAt()}
	}
	age := now.Sub(t.target.since)
	learnt := t.cold.learner.Rate(age)
	if learnt == 0 || t.cfg.Without.LearntLimit || l.Holds(now) && l.PerSecond <= learnt {
		return l
	}
	return warmup.Limit{PerSecond: learnt, Until: t.target.since.Add(warmup.YoungLife)}
}

// unseenUntil is when an agent that started beside a living target knows what the target was handed in the last second.
func (t *Table) unseenUntil() time.Time {
	if t.cfg.First || t.target.seenFirst || t.startedTogether() {
		return time.Time{}
	}
	return t.started.Add(unseenTime)
}

// startedTogether reports whether the target started so shortly before the agent that an earlier agent had ended by then, as after a loss
// of power. What is left of its warm-up tells its age.
func (t *Table) startedTogether() bool {
	if !t.target.warmAtKnown {
		return false
	}
	targetStarted := t.target.warmAt.Add(-t.cold.warmUp)
	return targetStarted.After(t.started.Add(-replacedAfter))
}

// ColdPerSecond is the number of new flows that the target takes in any second while it is cold; 0 when it is warm.
func (t *Table) ColdPerSecond(now time.Time) float64 { return t.coldLimit(now).PerSecond }

// hasRoom reports whether the target may be handed a new flow as far as its warm-up goes.
func (t *Table) hasRoom(now time.Time) bool {
	l := t.coldLimit(now)
	return !l.Holds(now) || l.Room > 0
}

// coldLimit is what the target takes now; no limit when it is warm.
func (t *Table) coldLimit(now time.Time) warmup.Limit {
	l := t.coldRate(now)
	if !l.Holds(now) {
		return warmup.Limit{}
	}
	if !now.Before(t.unseenUntil()) {
		l.Room = t.cold.window.Room(now, l.PerSecond)
	}
	return l
}

// roomAt is when a cold target without room is looked at again.
func (t *Table) roomAt(now time.Time) time.Time {
	l := t.coldRate(now)
	at := t.cold.window.Next(l.PerSecond)
	if unseen := t.unseenUntil(); unseen.After(at) {
		at = unseen
	}
	if l.Until.Before(at) {
		at = l.Until
	}
	return at
}

// toldCold is what balancers are told of a cold target; nothing when it is warm.
func (t *Table) toldCold(now time.Time) *dsrpb.Cold {
	l := t.coldLimit(now)
	if !l.Holds(now) {
		return nil
	}
	t.coldTold = dsrpb.Cold{
		PerSecond: float32(l.PerSecond),
		Room:      uint32(l.Room),
		LeftMs:    uint32(l.Until.Sub(now)/time.Millisecond) + 1,
	}
	return &t.coldTold
}
