package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// Times of a play of processes.
const (
	playInterval = time.Second
	playStep     = 10 * time.Millisecond
	playLength   = 40 * time.Second
	// maxReportDelay bounds the delay of a late report, maxUnanswered the time for which no health check is answered.
	maxReportDelay = 20 * time.Second
	maxUnanswered  = 700 * time.Millisecond
	// slowAnswer is the longest time until the answer to a health check of a busy process.
	slowAnswer = 250 * time.Millisecond
	// maxSetBack is by how much the clock is set back at most between two processes.
	maxSetBack = 30 * time.Second
	// maxHeldUp is the longest time for which all reports are late.
	maxHeldUp = 8 * time.Second
	// checkPause is the time between two health checks that the agent sends while it awaits proof.
	checkPause = 50 * time.Millisecond
)

// playedProcess is one process of the target.
type playedProcess struct {
	id                    string
	startedMs             uint64
	started, drains, ends time.Time
	sequence              uint64
	nextReport            time.Time
	// heard is the newest report that has reached the agent since that started, heardAt when the first one with its state did, or
	// the first one after a silence. LastHeard is when the newest one arrived.
	heard              announcement.Announcement
	heardAt, lastHeard time.Time
	// deregisteredAt is when its deregistration has reached the agent since that started, deregisters when it sends that.
	deregisteredAt, deregisters time.Time
	// knownToDrain is set when an earlier life of the agent has heard that the process drains.
	knownToDrain bool
}

func (p *playedProcess) runs(now time.Time) bool { return !now.Before(p.started) && now.Before(p.ends) }

func (p *playedProcess) state(now time.Time) announcement.State {
	if now.Before(p.drains) {
		return announcement.Ready
	}
	return announcement.Draining
}

// playedEvent is something that happens at a time.
type playedEvent struct {
	at time.Time
	do func()
}

// processPlay plays processes that follow each other at one address, with their reports, the agent's health checks, and restarts of
// the agent. Reports are lost, doubled or late by any time; checks are slow, refused or unanswered for a while, and processes call
// themselves ready when they are not, and the reverse.
type processPlay struct {
	*fixture
	random    *rand.Rand
	processes []*playedProcess
	events    []playedEvent
	restarts  []time.Time
	started   time.Time
	// startSlack is how long before the agent a process that tells its start may have started without flows from an earlier agent.
	startSlack time.Duration
	// drainSlack is how long a process that drains may get new flows after the agent has heard so.
	drainSlack time.Duration
	// unanswered is until when no health check is answered; checking is set while one is under way.
	unanswered time.Time
	nextCheck  time.Time
	checking   bool
	// heldUp is until when reports are late.
	heldUp time.Time
	// foreign is when a report of a process that does not run last arrived, lied is set once a process that drains has called itself
	// healthy since the agent's start.
	foreign time.Time
	lied    bool
}

// newProcessPlay plays processes with a name each, or, with starts, of one name with their starts by a clock that is set back between
// them.
func newProcessPlay(t *testing.T, seed uint64, starts bool) *processPlay {
	w := &processPlay{fixture: &fixture{T: t, out: &recorder{}, now: start}, random: rand.New(rand.NewPCG(seed, 0))}
	w.startAgent()
	at, setBack := start.Add(w.upTo(3*time.Second)-2*time.Second), time.Duration(0)
	for n := range 3 {
		p := &playedProcess{id: fmt.Sprintf("i-%d", n), started: at}
		p.drains = at.Add(w.upTo(15 * time.Second))
		p.ends = p.drains.Add(w.upTo(12 * time.Second))
		if w.random.IntN(3) == 0 {
			p.drains = p.ends
		}
		p.nextReport = at.Add(w.upTo(playInterval))
		if w.random.IntN(2) == 0 {
			p.deregisters = p.ends.Add(-w.upTo(5 * time.Second))
		}
		if starts {
			w.startSlack, w.drainSlack = minRestartDelay, playInterval
			p.id, p.startedMs = "i", uint64(at.Add(-setBack).UnixMilli())
			setBack += time.Duration(w.random.IntN(2)) * w.upTo(maxSetBack)
		}
		w.processes = append(w.processes, p)
		at = p.ends.Add(w.upTo(3 * time.Second))
	}
	for range w.random.IntN(8) {
		w.restarts = append(w.restarts, start.Add(w.upTo(playLength)))
	}
	return w
}

func (w *processPlay) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *processPlay) after(d time.Duration, do func()) {
	w.events = append(w.events, playedEvent{at: w.now.Add(d), do: do})
}

func (w *processPlay) startAgent() {
	w.table, w.started, w.checking, w.lied = newTestTable(w.fixture, Config{}), w.now, false, false
	for _, p := range w.processes {
		p.knownToDrain = p.knownToDrain || p.heard.State == announcement.Draining
		p.heard, p.heardAt, p.deregisteredAt = announcement.Announcement{}, time.Time{}, time.Time{}
	}
}

// running returns the process that runs, or nil.
func (w *processPlay) running() *playedProcess {
	for _, p := range w.processes {
		if p.runs(w.now) {
			return p
		}
	}
	return nil
}

// step lets pass one step of time.
func (w *processPlay) step() {
	w.now = w.now.Add(playStep)
	for i, at := range w.restarts {
		if !w.now.Before(at) {
			w.restarts = slices.Delete(w.restarts, i, i+1)
			w.startAgent()
			break
		}
	}
	if w.random.IntN(300) == 0 && w.now.Sub(w.unanswered) > playInterval {
		w.unanswered = w.now.Add(w.upTo(maxUnanswered))
	}
	if w.random.IntN(1000) == 0 {
		w.heldUp = w.now.Add(w.upTo(maxHeldUp))
	}
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
	if p := w.running(); p != nil {
		w.play(p)
	}
	starting := !w.table.TargetKnown() && w.now.Sub(w.started) <= 2*time.Second
	if (starting || w.table.AwaitsProof(w.now) || w.table.AwaitsTargetEnd()) && !w.now.Before(w.nextCheck) {
		w.check(nil)
	}
}

// play lets the running process do what is due.
func (w *processPlay) play(p *playedProcess) {
	if !w.now.Before(p.nextReport) {
		w.report(p)
	}
	if !p.deregisters.IsZero() && !w.now.Before(p.deregisters) {
		p.deregisters = time.Time{}
		delay := w.upTo(time.Duration(1+w.random.IntN(2)) * time.Second)
		w.after(delay, func() { w.deregister(p) })
	}
}

// deregister passes the deregistration of a process, which may have ended, to the agent.
func (w *processPlay) deregister(p *playedProcess) {
	err := w.table.TargetLeft(w.now, announcement.Deregistration{ID: p.id, StartedMs: p.startedMs})
	if err == nil {
		p.deregisteredAt = w.now
	}
	if !p.runs(w.now) {
		w.foreign = w.now
	}
}

// report sends the next report of a process.
func (w *processPlay) report(p *playedProcess) {
	p.nextReport = w.now.Add(playInterval - playInterval/10 + w.upTo(playInterval/10))
	p.sequence++
	n := report(p.id, p.startedMs, p.sequence, p.state(w.now))
	lot := w.random.IntN(10)
	switch {
	case lot < 2, w.now.Before(w.heldUp):
		w.after(w.upTo(maxReportDelay), func() { w.receive(p, n) })
	case lot == 2:
		w.after(w.upTo(maxReportDelay), func() { w.receive(p, n) })
		w.after(0, func() { w.receive(p, n) })
	case lot == 3:
	default:
		w.after(0, func() { w.receive(p, n) })
	}
}

// receive passes a report to the agent, which sends a health check when it needs proof.
func (w *processPlay) receive(p *playedProcess, n announcement.Announcement) {
	if p.runs(w.now) {
		p.hear(w.now, n)
	} else {
		w.foreign = w.now
	}
	_, err := w.table.Announce(w.now, n)
	if announcement.IsUnconfirmed(err) || err == nil && w.table.AwaitsProof(w.now) {
		w.check(&n)
	}
}

// hear records that a report has reached the agent.
func (p *playedProcess) hear(now time.Time, n announcement.Announcement) {
	if n.Sequence <= p.heard.Sequence {
		return
	}
	if p.heardAt.IsZero() || n.State != p.heard.State || now.Sub(p.lastHeard) > 2*playInterval {
		p.heardAt = now
	}
	p.heard, p.lastHeard = n, now
}

// check sends a health check; a report is applied again when that is answered.
func (w *processPlay) check(n *announcement.Announcement) {
	w.nextCheck = w.now.Add(checkPause)
	if w.checking || w.now.Before(w.unanswered) {
		return
	}
	table, began, p := w.table, w.now, w.running()
	w.checking = true
	w.after(w.upTo(slowAnswer), func() {
		if w.table != table {
			return
		}
		w.checking = false
		w.answer(began, p)
		if n != nil {
			_, _ = w.table.Announce(w.now, *n)
		}
	})
}

// answer applies the outcome of a health check that reached a process, or none. The answer of a process that has ended meanwhile is
// lost.
func (w *processPlay) answer(began time.Time, p *playedProcess) {
	switch {
	case p == nil:
		w.table.TargetNotRunning(w.now)
	case p.runs(w.now):
		healthy := p.state(w.now) == announcement.Ready
		if w.random.IntN(8) == 0 {
			healthy = !healthy
		}
		w.lied = w.lied || healthy && p.state(w.now) == announcement.Draining
		w.table.HealthChecked(w.now, announcement.HealthCheck{ID: p.id, StartedMs: p.startedMs, Ready: healthy, Began: began})
	}
}

// violation returns what the agent believes that is wrong, or "".
func (w *processPlay) violation() string {
	p := w.running()
	if p == nil {
		return ""
	}
	state := w.table.State(w.now)
	switch {
	case w.table.knowsAllFlows(w.now) && p.started.Before(w.started.Add(-w.startSlack)) && w.now.Sub(w.started) <= MaxFlowAge:
		return "the flows from before the agent's start are excluded"
	case p.heardAt.IsZero() && p.knownToDrain && state == serving && !w.lied:
		return "a process gets new flows that was known to drain before the agent's start"
	case p.heardAt.IsZero():
		return ""
	case p.heard.State == announcement.Draining && state == serving && w.now.Sub(p.heardAt) >= w.drainSlack:
		return "a process that drains gets new flows"
	case !p.deregisteredAt.IsZero() && w.now.Sub(p.deregisteredAt) > playInterval && state == serving:
		return "a process that has deregistered gets new flows"
	case !p.deregisteredAt.IsZero():
		return ""
	}
	settled := p.heardAt
	if w.foreign.After(settled) {
		settled = w.foreign
	}
	if w.now.Sub(settled) < playInterval {
		return ""
	}
	if got := w.table.TargetIncarnation(); got.ID != p.id || got.StartedMs != p.startedMs {
		return fmt.Sprintf("the current process is taken to be %s of %d", got.ID, got.StartedMs)
	}
	if p.heard.State == announcement.Ready && w.now.Sub(w.table.target.lastSeen) <= w.table.silenceTimeout() && state != serving {
		return "a ready process gets no new flows"
	}
	return ""
}

// run plays until the end, and fails when the agent believes something that is wrong.
func (w *processPlay) run(seed uint64) {
	for w.now.Sub(start) < playLength {
		w.step()
		require.Empty(w, w.violation(), "seed %d, after %s, state %s", seed, w.now.Sub(start), w.table.State(w.now))
	}
}

// A late report of an ended process was taken for one of the running process: a draining target got new flows, and flows from before
// an agent's restart were excluded.
func TestTheRunningProcessKeepsItsStateWhateverReportsAreLate(t *testing.T) {
	for seed := range uint64(1500) {
		newProcessPlay(t, seed, false).run(seed)
	}
}

// A process whose clock was set back before its start was rejected for good.
func TestTheRunningProcessKeepsItsStateWhateverItsClockSays(t *testing.T) {
	for seed := range uint64(1500) {
		newProcessPlay(t, seed, true).run(seed)
	}
}
