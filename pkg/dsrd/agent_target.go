package dsrd

import (
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// Announce implements Targets. A health check decides about a process that the agent has not heard of: its report may be a late one
// of an earlier process.
func (a *Agent) Announce(n announcement.Announcement) error {
	err := a.applyReport(n)
	if !a.isDoubtful(err) || !a.confirmTarget(n.ID) {
		return err
	}
	return a.applyReport(n)
}

// isDoubtful reports whether a health check has to tell whether a report is of the running process.
func (a *Agent) isDoubtful(err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return announcement.IsUnconfirmed(err) || a.table.AwaitsProof(time.Now())
}

// applyReport applies a report of the target.
func (a *Agent) applyReport(n announcement.Announcement) error {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.table.State(now)
	notify, err := a.table.Announce(now, n)
	a.awaitProof()
	if err != nil || !notify {
		return err
	}
	a.log.Warn().Str("op", "target-state").Str("target", n.ID).Uint64("born", n.StartedMs).Uint64("sequence", n.Sequence).
		Str("service", n.Service).Int("slots", n.Slots).Dur("warm_up_ms", n.WarmUp).
		Float64("cold_per_second", a.table.ColdPerSecond(now)).Stringer("before", before).
		Stringer("state", a.table.State(now)).Msg("target state or incarnation changed")
	a.state = a.table.State(now)
	a.announceNow(now)
	a.alarm.schedule(a.table.Deadline())
	return nil
}

// confirmTarget asks by a health check which process runs after a report of the named one, and reports whether it was told.
func (a *Agent) confirmTarget(reported string) bool {
	a.mu.Lock()
	path := a.healthPath
	a.mu.Unlock()
	if path == "" {
		a.log.Warn().Str("op", "target-state").Str("from", reported).Msg("the path of the health check that says which process of the target runs is not known")
		return false
	}
	err := a.checkTarget(a.runCtx, path, probeTimeout)
	a.scope.Tagged(map[string]string{"answered": strconv.FormatBool(err == nil)}).Counter("dsr_target_confirmations").Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	line := a.log.Warn().Err(err).Str("op", "target-state").Stringer("peer", a.target).Str("from", reported).
		Str("target", a.table.TargetIncarnation().ID).Stringer("state", a.table.State(time.Now()))
	if err != nil {
		line.Msg("no health check says which process of the target runs")
		return false
	}
	line.Msg("a health check has decided about a report")
	return true
}

// Left implements Targets.
func (a *Agent) Left(f announcement.Deregistration) error {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.table.TargetLeft(now, f); err != nil {
		return err
	}
	a.log.Warn().Str("op", "target-left").Str("target", f.ID).Uint64("born", f.StartedMs).Int("flows", a.table.Flows()).
		Msg("the target has deregistered")
	a.announceNow(now)
	a.awaitProof()
	return nil
}

// targetHeardAgain announces that a target runs whose process was taken for ended. a.mu is held.
func (a *Agent) targetHeardAgain(now time.Time) {
	a.log.Warn().Str("op", "target-state").Str("target", a.table.TargetIncarnation().ID).Int("flows", a.table.Flows()).
		Msg("a target that was not running is heard of again; it keeps its flows")
	a.announceNow(now)
	a.awaitProof()
}

// Rejected implements Targets. The log line names the incarnation that stays current, so that an operator sees what
// the report was compared with.
func (a *Agent) Rejected(id string, r *announcement.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejections[r.Reason]++
	a.scope.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("dsr_rejected_reports").Inc(1)
	current := a.table.TargetIncarnation()
	a.log.Warn().Str("op", "report-rejected").Str("reason", string(r.Reason)).Str("field", r.Field).Str("from", id).
		Str("target", current.ID).Uint64("born", current.StartedMs).Uint64("sequence", current.Sequence).Msg("target report rejected")
}
