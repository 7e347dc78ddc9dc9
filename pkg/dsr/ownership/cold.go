package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
)

// blindTime is how long an agent that started beside a living target does not know what an earlier agent handed to it.
const blindTime = time.Second + time.Millisecond

// coldness is what the agent knows of its target's warm-up.
type coldness struct {
	// perSecond and warmUp are what operators declare of the service, version the configuration that says so.
	perSecond float64
	warmUp    time.Duration
	version   uint64
	// window counts the flows that were handed to the target.
	window warmup.Window
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
	if t.target.warmthTold {
		return t.target.warmAt
	}
	return t.target.coldFrom.Add(t.cold.warmUp)
}

// handed counts a new flow that the target is handed.
func (t *Table) handed(now time.Time) {
	if t.cold.perSecond > 0 {
		t.cold.window.Note(now)
	}
}

// isCold reports whether the target takes no more than a rate of new flows.
func (t *Table) isCold(now time.Time) bool {
	return t.cold.perSecond > 0 && now.Before(t.warmAt()) && !t.cfg.Without.ColdLimit
}

// blindUntil is when an agent that started beside a living target knows what the target was handed in the last second.
func (t *Table) blindUntil() time.Time {
	if t.cfg.First || t.target.seenFirst {
		return time.Time{}
	}
	return t.started.Add(blindTime)
}

// hasRoom reports whether the target may be handed a new flow as far as its warm-up goes.
func (t *Table) hasRoom(now time.Time) bool { return !t.isCold(now) || t.coldLimit(now).Room > 0 }

// coldLimit is what the target takes now; no limit when it is warm.
func (t *Table) coldLimit(now time.Time) warmup.Limit {
	if !t.isCold(now) {
		return warmup.Limit{}
	}
	l := warmup.Limit{PerSecond: t.cold.perSecond, Until: t.warmAt()}
	if !now.Before(t.blindUntil()) {
		l.Room = t.cold.window.Room(now, t.cold.perSecond)
	}
	return l
}

// roomAt is when a cold target without room has room again.
func (t *Table) roomAt() time.Time {
	at := t.cold.window.Next(t.cold.perSecond)
	if blind := t.blindUntil(); blind.After(at) {
		at = blind
	}
	if warm := t.warmAt(); warm.Before(at) {
		at = warm
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
