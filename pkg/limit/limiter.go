package limit

import (
	"fmt"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Limiter decides on the requests of one target. Its methods are safe for concurrent use; each is atomic.
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

	responseTime estimate
	hold         estimate
	pausedUntil  time.Time
	backoff      time.Duration
	lastShed     time.Time
	trial        time.Time
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
	return l.clearQueue()
}

// Pause stops new work until Resume, for a target whose data centre is evacuated. It returns the waiting work, which has left the queue.
func (l *Limiter) Pause() []*Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	return l.clearQueue()
}

// Resume takes new work again after Pause.
func (l *Limiter) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
}

// clearQueue removes all waiting work and returns it.
func (l *Limiter) clearQueue() []*Work {
	var waiting []*Work
	for w := l.queue.pop(); w != nil; w = l.queue.pop() {
		w.state = workLeft
		waiting = append(waiting, w)
	}
	return waiting
}

// stopped reports whether all new work is refused, and why.
func (l *Limiter) stopped() (refusal.Reason, bool) {
	switch {
	case l.closed:
		return refusal.ReasonDraining, true
	case l.paused:
		return refusal.ReasonEvacuated, true
	}
	return "", false
}

// SetSlots changes the number of slots and returns the waiting work that starts because of it. A limit that had reached
// the old number is set to the new one at once; a lower limit goes on growing.
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

// SetQueue changes the highest number of waiting requests; 0 means DefaultQueue. Requests that already wait stay.
func (l *Limiter) SetQueue(queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.o.Queue = queue
	if queue == 0 {
		l.o.Queue = DefaultQueue
	}
}

// Admit decides on a new request.
func (l *Limiter) Admit(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admit(now, w, false)
}

// Return takes back work that had left for another target, which did not accept it; the work is put at the front of the
// queue.
func (l *Limiter) Return(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admit(now, w, true)
}

// TryStart gives the work a slot only when one is free and nothing waits.
func (l *Limiter) TryStart(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.size > 0 || !l.hasFreeSlot(now) {
		return l.refuse(now, w, refusal.ReasonAllFull)
	}
	return l.admit(now, w, false)
}

func (l *Limiter) admit(now time.Time, w *Work, front bool) Decision {
	if reason, stopped := l.stopped(); stopped {
		return l.refuse(now, w, reason)
	}
	if l.queue.size == 0 && l.hasFreeSlot(now) && l.startAtOnce(now, w) {
		return Decision{Verdict: VerdictStart}
	}
	ahead := 0
	if !front {
		ahead = l.queue.ahead(w.Caller, len(l.queue.callers[w.Caller]))
	}
	if reason, bad := l.refuseReason(now, w, ahead); bad {
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

// startAtOnce gives the work a free slot when it can meet its deadline, or when a trial is due.
func (l *Limiter) startAtOnce(now time.Time, w *Work) bool {
	if !l.meetsDeadline(now, w, 0) {
		if !l.isTrialDue(now) {
			return false
		}
		w.trial = true
		l.trial = now
	}
	l.start(now, w)
	return true
}

// isTrialDue reports whether an idle target that seems too slow should get one request, to detect its recovery.
func (l *Limiter) isTrialDue(now time.Time) bool {
	return len(l.running) == 0 && now.Sub(l.trial) >= trialInterval
}

// Poll reevaluates waiting work: it may be refused because its deadline can no longer be met, or started because a
// pause has ended.
func (l *Limiter) Poll(now time.Time, w *Work) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := l.startReady(now)
	if w.state == workRunning {
		return Decision{Verdict: VerdictStart, Started: started}
	}
	if w.state != workWaiting {
		d := l.refuse(now, w, l.dequeueReason())
		d.Started = started
		return d
	}
	reason, bad := l.refuseReason(now, w, l.queue.position(w))
	if !bad {
		return Decision{Verdict: VerdictWait, Started: started}
	}
	l.queue.remove(w)
	d := l.refuse(now, w, reason)
	d.Started = started
	return d
}

// dequeueReason returns why work was removed from the queue by another call.
func (l *Limiter) dequeueReason() refusal.Reason {
	if reason, stopped := l.stopped(); stopped {
		return reason
	}
	return refusal.ReasonDeadline
}

// Leave removes waiting work from the queue. It returns false when the work has started.
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

// Done releases the slot, updates the estimates and the limit from the outcome, and returns the waiting work that
// starts now.
func (l *Limiter) Done(now time.Time, w *Work, o Outcome) []*Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, w)
	w.state = workLeft
	switch o.Result {
	case ResultAnswered:
		if w.trial {
			l.hold.resetIfBelow(now.Sub(w.since))
			l.responseTime.resetIfBelow(o.ResponseTime)
		}
		l.recordAnswer(now.Sub(w.since), o.ResponseTime)
	case ResultShed:
		l.recordShed(now, o.RetryAfter)
	case ResultFailed:
		l.recordFailure(now)
	}
	return l.startReady(now)
}

// recordAnswer raises the limit: by one for each answer of a cold target, otherwise by about one for each round of
// answers.
func (l *Limiter) recordAnswer(hold, responseTime time.Duration) {
	l.hold.add(hold)
	l.responseTime.add(responseTime)
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

// recordShed pauses the target for the time that it asks for. Several shed requests of one round lower the limit once.
func (l *Limiter) recordShed(now time.Time, after time.Duration) {
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

func (l *Limiter) recordFailure(now time.Time) {
	if now.Before(l.pausedUntil) {
		return
	}
	l.backoff = min(max(2*l.backoff, firstBackoff), maxPause)
	l.limit = 1
	l.doubling = true
	l.pauseFor(now, l.backoff)
}

func (l *Limiter) pauseFor(now time.Time, d time.Duration) {
	until := now.Add(min(d, maxPause))
	if until.After(l.pausedUntil) {
		l.pausedUntil = until
	}
}

func (l *Limiter) hasFreeSlot(now time.Time) bool {
	return !l.closed && !now.Before(l.pausedUntil) && len(l.running) < int(l.limit)
}

func (l *Limiter) start(now time.Time, w *Work) {
	w.state = workRunning
	w.since = now
	l.running[w] = struct{}{}
}

// startReady starts waiting work while slots are free.
func (l *Limiter) startReady(now time.Time) []*Work {
	var started []*Work
	for l.queue.size > 0 && l.hasFreeSlot(now) {
		w := l.queue.pop()
		l.start(now, w)
		started = append(started, w)
	}
	return started
}

// displace refuses the work at the end of the longest queue while the newcomer makes it miss its deadline or the queue
// exceeds its limit.
func (l *Limiter) displace(now time.Time, newcomer *Work) []*Work {
	var refused []*Work
	for {
		w := l.queue.tailOfLongest()
		if w == nil || w == newcomer {
			return refused
		}
		if _, bad := l.refuseReason(now, w, l.queue.position(w)); !bad && l.queue.size <= l.o.Queue {
			return refused
		}
		l.queue.remove(w)
		w.state = workLeft
		refused = append(refused, w)
	}
}

// refuseReason returns whether work with the given amount of work ahead of it should be refused instead of waiting, and
// why.
func (l *Limiter) refuseReason(now time.Time, w *Work, ahead int) (refusal.Reason, bool) {
	if reason, stopped := l.stopped(); stopped {
		return reason, true
	}
	if ahead >= l.o.Queue {
		return refusal.ReasonQueueFull, true
	}
	if l.meetsDeadline(now, w, l.estimatedWait(now, ahead)) {
		return "", false
	}
	return refusal.ReasonDeadline, true
}

// meetsDeadline reports whether work that starts after wait can be expected to be answered before its deadline.
func (l *Limiter) meetsDeadline(now time.Time, w *Work, wait time.Duration) bool {
	if l.o.Unbounded {
		return true
	}
	return !now.Add(wait + l.responseTime.upperBound()).After(w.Deadline)
}

// estimatedWait estimates the time until work with the given amount of work ahead of it starts.
func (l *Limiter) estimatedWait(now time.Time, ahead int) time.Duration {
	slots := max(int(l.limit), 1)
	estimatedWait := l.holdTime(now) * time.Duration(ahead+1) / time.Duration(slots)
	if len(l.running) < slots {
		estimatedWait = l.holdTime(now) * time.Duration(ahead) / time.Duration(slots)
	}
	return estimatedWait + max(l.pausedUntil.Sub(now), 0)
}

// holdTime returns the mean time for which a request holds a slot. It is at least the mean age of the running requests,
// so that a stalled target is noticed before it answers.
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
			l.responseTime.mean.Round(time.Millisecond)),
	}
}

// retryAfter estimates when an equal request could meet its deadline, and adds up to half of that at random to spread
// the retries.
func (l *Limiter) retryAfter(now time.Time, w *Work) time.Duration {
	if l.closed {
		return idleRetryAfter
	}
	excess := l.estimatedWait(now, l.queue.size) + l.responseTime.upperBound() - w.Deadline.Sub(now)
	after := max(excess, l.pausedUntil.Sub(now), l.hold.mean, minRetryAfter)
	return after + time.Duration(l.o.Rand.Int64N(int64(after)/2+1))
}

// Load is what an agent reports to its peers about its target. All of it is observed by the agent.
type Load struct {
	// Busy is the number of requests at the target.
	Busy int
	// Limit is the number of concurrent requests that the target may have; 0 when it accepts none now.
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
	if !l.closed && !now.Before(l.pausedUntil) {
		load.Limit = int(l.limit)
	}
	return load
}
