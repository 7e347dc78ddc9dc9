package limit

import (
	"fmt"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Limiter decides about the requests of one target. Its methods may be called concurrently; each is one atomic step.
type Limiter struct {
	o  Options
	mu sync.Mutex

	queue    fairQueue
	running  map[*Work]struct{}
	limit    float64
	doubling bool
	closed   bool
	// paused is set while the target's data centre is evacuated.
	paused bool

	lead     estimate
	hold     estimate
	pause    time.Time
	backoff  time.Duration
	lastShed time.Time
	trial    time.Time
}

// New returns the limiter of a target.
func New(o Options) *Limiter {
	if o.Queue == 0 {
		o.Queue = DefaultQueue
	}
	l := &Limiter{o: o, queue: newFairQueue(), running: make(map[*Work]struct{}), limit: float64(o.Slots)}
	if o.Cold {
		l.limit = 1
		l.doubling = true
	}
	return l
}

// Close stops new work, for a draining target. It returns the waiting work, which has left the queue.
func (l *Limiter) Close() []*Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.emptyQueue()
}

// Pause stops new work until Resume, for a target whose data centre is evacuated. It returns the waiting work, which has left the queue.
func (l *Limiter) Pause() []*Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	return l.emptyQueue()
}

// Resume takes new work again after Pause.
func (l *Limiter) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
}

// emptyQueue takes all waiting work out of the queue.
func (l *Limiter) emptyQueue() []*Work {
	var waiting []*Work
	for w := l.queue.pop(); w != nil; w = l.queue.pop() {
		w.state = workLeft
		waiting = append(waiting, w)
	}
	return waiting
}

// shut reports whether no new work is taken, and why.
func (l *Limiter) shut() (refusal.Reason, bool) {
	switch {
	case l.closed:
		return refusal.ReasonDraining, true
	case l.paused:
		return refusal.ReasonEvacuated, true
	}
	return "", false
}

// SetSlots changes the number of slots. It returns the waiting work that starts by it. A target that was used to the
// full is so at once with the new number; another goes on growing.
func (l *Limiter) SetSlots(now time.Time, slots int) []*Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.limit == float64(l.o.Slots)
	l.o.Slots = max(slots, 1)
	if full || l.limit > float64(l.o.Slots) {
		l.limit = float64(l.o.Slots)
	}
	return l.startReady(now)
}

// SetQueue changes the highest number of waiting requests; 0 means DefaultQueue. Requests that wait already stay.
func (l *Limiter) SetQueue(queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.o.Queue = queue
	if queue == 0 {
		l.o.Queue = DefaultQueue
	}
}

// Admit decides about a new request.
func (l *Limiter) Admit(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admit(now, w, false)
}

// Return takes work back that had left for another target which then did not take it; it is next in line.
func (l *Limiter) Return(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admit(now, w, true)
}

// TryStart gives the work a slot only when one is free and nothing waits.
func (l *Limiter) TryStart(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.size > 0 || !l.free(now) {
		return l.refuse(now, w, refusal.ReasonAllFull)
	}
	return l.admit(now, w, false)
}

func (l *Limiter) admit(now time.Time, w *Work, front bool) Decision {
	if reason, shut := l.shut(); shut {
		return l.refuse(now, w, reason)
	}
	if l.queue.size == 0 && l.free(now) && l.startAtOnce(now, w) {
		return Decision{Verdict: VerdictStart}
	}
	ahead := 0
	if !front {
		ahead = l.queue.ahead(w.Caller, len(l.queue.callers[w.Caller]))
	}
	if reason, bad := l.hopeless(now, w, ahead); bad {
		return l.refuse(now, w, reason)
	}
	w.state = workWaiting
	if front {
		l.queue.pushFront(w)
	} else {
		l.queue.push(w)
	}
	d := Decision{Verdict: VerdictWait, Started: l.startReady(now), Refused: l.displace(now, w)}
	if w.state == workRunning {
		d.Verdict = VerdictStart
	}
	return d
}

// startAtOnce gives the work a free slot when it can be answered in time, or when a trial is due.
func (l *Limiter) startAtOnce(now time.Time, w *Work) bool {
	if !l.inTime(now, w, 0) {
		if !l.trialDue(now) {
			return false
		}
		w.trial = true
		l.trial = now
	}
	l.start(now, w)
	return true
}

// trialDue reports whether an idle target that seems too slow should get one request, so that its recovery is seen.
func (l *Limiter) trialDue(now time.Time) bool {
	return len(l.running) == 0 && now.Sub(l.trial) >= trialInterval
}

// Poll looks again at waiting work: it may be refused because its deadline can no longer be met, or started because a
// pause is over.
func (l *Limiter) Poll(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := l.startReady(now)
	if w.state == workRunning {
		return Decision{Verdict: VerdictStart, Started: started}
	}
	if w.state != workWaiting {
		d := l.refuse(now, w, l.leftReason())
		d.Started = started
		return d
	}
	reason, bad := l.hopeless(now, w, l.queue.position(w))
	if !bad {
		return Decision{Verdict: VerdictWait, Started: started}
	}
	l.queue.remove(w)
	d := l.refuse(now, w, reason)
	d.Started = started
	return d
}

// leftReason is why work left the queue without its own doing.
func (l *Limiter) leftReason() refusal.Reason {
	if reason, shut := l.shut(); shut {
		return reason
	}
	return refusal.ReasonDeadline
}

// Leave takes waiting work out of the queue. It returns false when the work has started.
func (l *Limiter) Leave(w *Work) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.state == workRunning {
		return false
	}
	if w.state == workWaiting {
		l.queue.remove(w)
	}
	w.state = workLeft
	return true
}

// Done gives the slot back, learns from the outcome, and returns the waiting work that starts now.
func (l *Limiter) Done(now time.Time, w *Work, o Outcome) []*Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, w)
	w.state = workLeft
	switch o.Result {
	case ResultAnswered:
		if w.trial {
			l.hold.restart(now.Sub(w.since))
			l.lead.restart(o.ResponseTime)
		}
		l.answered(now.Sub(w.since), o.ResponseTime)
	case ResultShed:
		l.shed(now, o.RetryAfter)
	case ResultFailed:
		l.failed(now)
	}
	return l.startReady(now)
}

// answered raises the limit: by one for each answer of a cold target, then by one for each round of answers.
func (l *Limiter) answered(hold, lead time.Duration) {
	l.hold.add(hold)
	l.lead.add(lead)
	l.backoff = 0
	step := 1 / l.limit
	if l.doubling {
		step = 1
	}
	l.limit = min(l.limit+step, float64(l.o.Slots))
	if l.limit == float64(l.o.Slots) {
		l.doubling = false
	}
}

// shed honours the time that the target asks for. Several shed answers of one round lower the limit once.
func (l *Limiter) shed(now time.Time, after time.Duration) {
	l.doubling = false
	if now.Sub(l.lastShed) >= max(l.hold.mean, firstBackoff) {
		l.limit = max(1, l.limit*decreaseFactor)
	}
	l.lastShed = now
	if after == 0 {
		after = firstBackoff
	}
	l.pauseFor(now, after)
}

func (l *Limiter) failed(now time.Time) {
	if now.Before(l.pause) {
		return
	}
	l.backoff = min(max(2*l.backoff, firstBackoff), maxPause)
	l.limit = 1
	l.doubling = true
	l.pauseFor(now, l.backoff)
}

func (l *Limiter) pauseFor(now time.Time, d time.Duration) {
	until := now.Add(min(d, maxPause))
	if until.After(l.pause) {
		l.pause = until
	}
}

func (l *Limiter) free(now time.Time) bool {
	return !l.closed && !now.Before(l.pause) && len(l.running) < int(l.limit)
}

func (l *Limiter) start(now time.Time, w *Work) {
	w.state = workRunning
	w.since = now
	l.running[w] = struct{}{}
}

// startReady fills the free slots from the queue.
func (l *Limiter) startReady(now time.Time) []*Work {
	var started []*Work
	for l.queue.size > 0 && l.free(now) {
		w := l.queue.pop()
		l.start(now, w)
		started = append(started, w)
	}
	return started
}

// displace refuses the work that the newcomer pushed beyond its deadline: the last of the longest line.
func (l *Limiter) displace(now time.Time, newcomer *Work) []*Work {
	var refused []*Work
	for {
		w := l.queue.longest()
		if w == nil || w == newcomer {
			return refused
		}
		if _, bad := l.hopeless(now, w, l.queue.position(w)); !bad && l.queue.size <= l.o.Queue {
			return refused
		}
		l.queue.remove(w)
		w.state = workLeft
		refused = append(refused, w)
	}
}

// hopeless reports that work with so much ahead of it should not wait, and why.
func (l *Limiter) hopeless(now time.Time, w *Work, ahead int) (refusal.Reason, bool) {
	if reason, shut := l.shut(); shut {
		return reason, true
	}
	if ahead >= l.o.Queue {
		return refusal.ReasonQueueFull, true
	}
	if l.inTime(now, w, l.wait(now, ahead)) {
		return "", false
	}
	return refusal.ReasonDeadline, true
}

// inTime reports whether work that starts after wait can be expected to be answered in time.
func (l *Limiter) inTime(now time.Time, w *Work, wait time.Duration) bool {
	if l.o.Unbounded {
		return true
	}
	return !now.Add(wait + l.lead.high()).After(w.Deadline)
}

// wait estimates the time until work with so much ahead of it starts.
func (l *Limiter) wait(now time.Time, ahead int) time.Duration {
	slots := max(int(l.limit), 1)
	wait := l.holdTime(now) * time.Duration(ahead+1) / time.Duration(slots)
	if len(l.running) < slots {
		wait = l.holdTime(now) * time.Duration(ahead) / time.Duration(slots)
	}
	return wait + max(l.pause.Sub(now), 0)
}

// holdTime is the observed time for which a request holds a slot. Requests that have run longer count as observed.
func (l *Limiter) holdTime(now time.Time) time.Duration {
	if len(l.running) == 0 {
		return l.hold.mean
	}
	var sum time.Duration
	for w := range l.running {
		sum += now.Sub(w.since)
	}
	return max(l.hold.mean, sum/time.Duration(len(l.running)))
}

func (l *Limiter) refuse(now time.Time, w *Work, reason refusal.Reason) Decision {
	w.state = workLeft
	return Decision{
		Verdict:    VerdictRefuse,
		Reason:     reason,
		RetryAfter: l.retryAfter(now, w),
		Detail: fmt.Sprintf("%d of %d slots busy, %d waiting, %v to answer", len(l.running), int(l.limit), l.queue.size,
			l.lead.mean.Round(time.Millisecond)),
	}
}

// retryAfter estimates when the queue is short enough for an equal request, and spreads the callers over half of it.
func (l *Limiter) retryAfter(now time.Time, w *Work) time.Duration {
	if l.closed {
		return idleRetryAfter
	}
	excess := l.wait(now, l.queue.size) + l.lead.high() - w.Deadline.Sub(now)
	after := max(excess, l.pause.Sub(now), l.hold.mean, minRetryAfter)
	return after + time.Duration(l.o.Rand.Int64N(int64(after)/2+1))
}

// Load is what an agent tells its peers about its target. All of it is observed by the agent.
type Load struct {
	// Busy is the number of requests at the target.
	Busy int
	// Limit is the number of requests that may be at the target; 0 when it takes none now.
	Limit int
	// Waiting is the number of waiting requests.
	Waiting int
	// Hold is the mean time for which a request holds a slot.
	Hold time.Duration
}

// Load returns the present load.
func (l *Limiter) Load(now time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := Load{Busy: len(l.running), Waiting: l.queue.size, Hold: l.hold.mean}
	if !l.closed && !now.Before(l.pause) {
		load.Limit = int(l.limit)
	}
	return load
}
