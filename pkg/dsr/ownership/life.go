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

// Announce takes a heartbeat of the target. It reports whether the balancers should be told at once. The error is an
// *announcement.Rejection: the heartbeat has changed nothing.
func (t *Table) Announce(now time.Time, a announcement.Announcement) (bool, error) {
	if a.Service != t.cfg.Service {
		return false, &announcement.Rejection{Reason: announcement.WrongService}
	}
	if t.cfg.Target.IsValid() && a.Address.IsValid() && a.Address != t.cfg.Target {
		return false, &announcement.Rejection{Reason: announcement.WrongAddress}
	}
	before := t.State(now)
	last := t.target
	n, err := t.target.receive(now, a, t.silence())
	if err != nil || n == outdated {
		return false, err
	}
	if n == newIncarnation && last.last.ID != "" {
		t.recordIncarnationEnd(now, last)
		t.discardIncarnation(now)
	}
	t.returnQueuedUnlessReady(now)
	return n == newIncarnation || before != t.State(now), nil
}

// silence is how long a target may say nothing until it is taken for gone.
func (t *Table) silence() time.Duration { return MissedHeartbeats * t.cfg.HeartbeatInterval }

// Probed takes a target's answer that it is ready, for an agent that has not heard its heartbeat yet. Slots are not known
// then. It reports whether the balancers should be told.
func (t *Table) Probed(now time.Time, id string, born uint64) bool {
	if t.target.known {
		return false
	}
	tell, err := t.Announce(now, announcement.Announcement{ID: id, StartedMs: born, Service: t.cfg.Service, Slots: AssumedSlots})
	return tell && err == nil
}

// TargetLeft takes a target's word that its process is gone. The error is an *announcement.Rejection.
func (t *Table) TargetLeft(now time.Time, f announcement.Deregistration) error {
	if err := t.target.deregister(f); err != nil {
		return err
	}
	t.returnQueuedUnlessReady(now)
	return nil
}

// TargetIncarnation describes the present life of the target, for operators.
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
	// StartedMs is its start in Unix milliseconds, 0 when it does not say.
	StartedMs uint64
	// FirstSeen is when the agent first heard of it; Sequence is the number of its last announcement.
	FirstSeen time.Time
	Sequence  uint64
	Slots     int
}

// discardIncarnation forgets what belonged to the target's last process. Openings that wait for their turn are offered to the new one.
//
// A caller whose request the last process was working on would wait until its time is over, for an answer that cannot come. Its
// request is handed to the target once more: a process that does not hold the flow returns it, and the caller is reset at once.
// Resetting the flows outright would be wrong, since the new process may have taken some before its first report.
func (t *Table) discardIncarnation(now time.Time) {
	t.silentSince, t.meanWork, t.outcomes = time.Time{}, estimate.Mean{}, outlier.Detector{}
	clear(t.notHeld)
	clear(t.served)
	clear(t.minAnswers)
	for key, e := range t.flows {
		switch {
		case e.phase == offered:
			t.drop(key, e)
			t.decline(now, e.origin, &dsrpb.Message{Flow: key.Hash()}, key, dsrpb.Verdict_VERDICT_SILENT, nil)
		case e.phase == open && e.request != nil:
			e.requestResent = true
			t.out.ToTarget(e.request)
		}
	}
	t.offerQueued(now)
}

// notifyReset tells the balancer that a flow was reset; it keeps the record.
func (t *Table) notifyReset(now time.Time, origin netip.AddrPort, key flow.Key) {
	if origin.IsValid() {
		t.sendReturned(now, origin, &dsrpb.Message{Flow: key.Hash()}, key, dsrpb.Verdict_VERDICT_RESET, nil)
	}
}
