package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/estimate"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Announce applies a heartbeat of the target. It reports whether the balancers should be notified at once. The error
// is an *announcement.Rejection: the heartbeat has changed nothing.
func (t *Table) Announce(now time.Time, a announcement.Announcement) (bool, error) {
	if a.Service != t.cfg.Service {
		return false, &announcement.Rejection{Reason: announcement.WrongService}
	}
	if t.cfg.Target.IsValid() && a.Address.IsValid() && a.Address != t.cfg.Target {
		return false, &announcement.Rejection{Reason: announcement.WrongAddress}
	}
	before := t.State(now)
	last := t.target
	n, err := t.target.receive(now, a, t.silenceTimeout())
	if err != nil || n == outdated {
		return false, err
	}
	t.targetActive = now
	if n == newIncarnation {
		t.target.unverified = t.target.unverified && !(t.cfg.First && last.last.ID == "")
		t.startIncarnation(now, last, false)
	} else {
		t.checkRefusal(now, a)
	}
	t.target.seenFromStart = t.target.seenFromStart || t.sawStart(now, a)
	t.returnQueuedUnlessReady(now)
	return n == newIncarnation || before != t.State(now), nil
}

// startIncarnation prepares the table for another process of the target, which is current in place of the last one. Seen is set
// when the agent is known to have run when it started.
func (t *Table) startIncarnation(now time.Time, last target, seen bool) {
	t.target.seenFromStart = last.ended || seen
	t.checkRefusal(now, t.target.last)
	if last.last.ID != "" {
		t.recordIncarnationEnd(now, last)
		t.discardIncarnation(now)
	}
}

// silenceTimeout is how long a target may send no heartbeat until it counts as absent.
func (t *Table) silenceTimeout() time.Duration { return MissedHeartbeats * t.cfg.HeartbeatInterval }

// TargetNotRunning records that no process listens at the target's address, unless a running one is known that has not
// deregistered. A process that starts later holds only flows that this agent sees. It reports whether that was not known.
func (t *Table) TargetNotRunning(now time.Time) bool { return t.target.notRunning(now) }

// TargetEnded reports whether no process of the target runs, as far as the agent has heard.
func (t *Table) TargetEnded() bool { return t.target.ended }

// AwaitsTargetEnd reports whether the target's process has deregistered and may still run. Until its end is proved by a
// refused connection, or another process reports, it holds its flows.
func (t *Table) AwaitsTargetEnd() bool { return t.target.awaitsEnd() }

// TargetLeft applies the deregistration of a target's process, which takes no new flows from now on. The error is an
// *announcement.Rejection.
func (t *Table) TargetLeft(now time.Time, f announcement.Deregistration) error {
	if err := t.target.deregister(now, f); err != nil {
		return err
	}
	t.returnQueuedUnlessReady(now)
	return nil
}

// TargetIncarnation describes the current incarnation of the target, for operators.
func (t *Table) TargetIncarnation() TargetIncarnation {
	return TargetIncarnation{
		ID:        t.target.last.ID,
		StartedMs: t.target.last.StartedMs,
		FirstSeen: t.target.firstSeen,
		Sequence:  t.target.last.Sequence,
		Slots:     t.target.last.Slots,
	}
}

// TargetIncarnation is one process of a target.
type TargetIncarnation struct {
	ID string
	// StartedMs is its start in Unix milliseconds, 0 when it does not report one.
	StartedMs uint64
	// FirstSeen is when the agent first saw it; Sequence is the number of its last announcement.
	FirstSeen time.Time
	Sequence  uint64
	Slots     int
}

// discardIncarnation removes what belonged to the target's last incarnation. Queued flows are offered to the new one, and so
// are those that the last one was offered: their opening packets may have reached either.
//
// A caller whose request the last incarnation was working on would wait until its timeout for an answer that cannot
// come. Its request is sent to the target again: a process that does not hold the flow returns it, and the caller is
// reset at once. Resetting these flows directly would be wrong, since the new incarnation may have accepted some
// before its first report. Held requests are passed for the same reason.
func (t *Table) discardIncarnation(now time.Time) {
	t.silentSince, t.meanWork, t.outcomes = time.Time{}, estimate.Mean{}, outlier.Detector{}
	clear(t.notHeld)
	clear(t.served)
	clear(t.minAnswers)
	for key, e := range t.flows {
		switch {
		case e.phase == offered && now.Sub(e.since) < OfferTimeout:
			t.offer(now, key, e, e.packet)
		case e.phase == offered:
			t.drop(key, e)
			t.decline(now, e.origin, &dsrpb.Message{Flow: key.Hash()}, key, dsrpb.Verdict_VERDICT_SILENT, nil)
		case e.phase == open && e.request != nil:
			e.requestResent = true
			t.out.ToTarget(e.request)
		}
	}
	t.handOverAll(now)
	t.offerQueued(now)
}

// notifyReset notifies the balancer that a flow was reset, for its records.
func (t *Table) notifyReset(now time.Time, origin netip.AddrPort, key flow.Key) {
	if origin.IsValid() {
		t.sendReturned(now, origin, &dsrpb.Message{Flow: key.Hash()}, key, dsrpb.Verdict_VERDICT_RESET, nil)
	}
}
