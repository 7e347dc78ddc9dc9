package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evidence"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// startEvidence begins a search for the owner of a flow. What agents have answered since the flow's first unclaimed packet
// stays valid: a flow that was open then cannot come to a target that did not hold it. There is no evidence unless the answers
// can decide: every agent that may hold flows must be known, and answer with the number of the question.
func (b *Balancer) startEvidence(now time.Time, f *flowState) {
	f.searchedAt = now
	if !b.directory.Complete(now) || !b.holdersOf(now, f.key.Destination).current {
		f.evidence = nil
	} else if f.evidence == nil {
		f.evidence = evidence.New(now)
	} else {
		return
	}
	b.question++
	f.question = b.question
}

// recordEvidence records an agent's answer to a question of the current search.
func (b *Balancer) recordEvidence(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	if f.evidence == nil {
		return
	}
	if m.Verdict == dsrpb.Verdict_VERDICT_HELD {
		f.evidence.Record(now, from, evidence.Held, b.incarnationOf)
		return
	}
	if m.HasSequence || m.Reference != f.question {
		return
	}
	switch m.Verdict {
	case dsrpb.Verdict_VERDICT_NOT_HELD:
		f.evidence.Record(now, from, evidence.NotHeld, b.incarnationOf)
	case dsrpb.Verdict_VERDICT_UNKNOWN:
		f.evidence.Record(now, from, evidence.Unknown, b.incarnationOf)
	case dsrpb.Verdict_VERDICT_QUEUED:
		f.evidence.Record(now, from, evidence.Pending, b.incarnationOf)
	}
}

// decideByEvidence probes the agents that alone may hold the flow, resets the caller when no target holds it, or has
// agents asked again. It returns false when the answers do not decide.
func (b *Balancer) decideByEvidence(now time.Time, f *flowState) bool {
	if f.evidence == nil || !b.directory.Complete(now) || !b.holdersOf(now, f.key.Destination).current {
		return false
	}
	h := b.holdersOf(now, f.key.Destination)
	answered := f.evidence.Answered(h.unlisted, b.incarnationOf)
	verdict, candidates := f.evidence.Verdict(append(answered, h.agents...), b.incarnationOf)
	if verdict == evidence.Gone && !b.othersExclude(now, f) {
		verdict = evidence.Undecided
	}
	switch {
	case verdict == evidence.MayBeHeld && b.probeGroups(now, f, candidates):
		return true
	case verdict == evidence.Gone && b.isCertain(now, f):
		b.resetGone(now, f)
		return true
	}
	return b.recheck(now, f, verdict)
}

// isDecided reports whether the answers decide, so that the search need not wait for agents that hold no flows.
func (b *Balancer) isDecided(now time.Time, f *flowState) bool {
	if f.evidence == nil || f.missed || len(f.unasked) > 0 {
		return false
	}
	h := b.holdersOf(now, f.key.Destination)
	if len(f.evidence.Answered(h.unlisted, b.incarnationOf)) < len(h.unlisted) {
		return false
	}
	verdict, _ := f.evidence.Verdict(h.agents, b.incarnationOf)
	return verdict != evidence.Undecided
}

// awaitsOnlySilent reports whether all agents that have not answered left earlier questions unanswered too, so that the
// search goes on without them. Each step would wait for them otherwise.
func (b *Balancer) awaitsOnlySilent(now time.Time, f *flowState) bool {
	if f.evidence == nil || f.missed {
		return false
	}
	return !slices.ContainsFunc(f.unanswered, func(addr netip.AddrPort) bool {
		a := b.agents[addr]
		return a != nil && !a.isSilent(now, b.locateTimeout())
	})
}

// isCertain reports whether no agent that the balancer has not heard of can hold the flow. An agent that has just joined
// may have taken it from another balancer, and its announcement may be lost: until the next ones must have come, and while
// a living agent that is not listed has not excluded the flow, nothing is certain.
func (b *Balancer) isCertain(now time.Time, f *flowState) bool {
	if now.Sub(b.started) < SettleTime {
		return false
	}
	h := b.holdersOf(now, f.key.Destination)
	if len(f.evidence.Unexcluded(h.unlisted, b.incarnationOf)) > 0 {
		return false
	}
	return now.Sub(f.firstMissed) >= h.joinTime
}

// recheck schedules the next decision, until the caller's next packet would be late anyway. A flow that was missed for
// longer is rechecked once. While answers are missing, further questions are rare: many flows are searched for at once, and
// questions beyond the budget would delay the answers about all of them.
func (b *Balancer) recheck(now time.Time, f *flowState, verdict evidence.Verdict) bool {
	limit := min(b.holdersOf(now, f.key.Destination).joinTime+2*RecheckInterval, MaxRecheckTime)
	if f.firstMissed.Before(f.searchedAt) {
		limit = RecheckInterval
	}
	if len(f.held) == 0 || now.Sub(f.searchedAt) > limit {
		return false
	}
	f.phase, f.since = locating, now
	if verdict == evidence.Gone || !f.rechecked {
		b.rechecks = append(b.rechecks, due{flow: f, at: now.Add(RecheckInterval), phaseStart: now})
	} else {
		b.slowRechecks = append(b.slowRechecks, due{flow: f, at: now.Add(SlowRecheckInterval), phaseStart: now})
	}
	f.rechecked = verdict != evidence.Gone
	return true
}

// recheckDue decides again. Agents whose answers are missing are asked once more, and those that could not tell once none
// is missing.
func (b *Balancer) recheckDue(now time.Time, d due) {
	f := d.flow
	if f.phase != locating || f.evidence == nil || !d.phaseStart.Equal(f.since) {
		return
	}
	f.unasked, f.unanswered, f.rounds = nil, nil, 0
	if b.mayAsk(now, f) {
		f.unanswered = b.knownAgents(b.toAsk(now, f))
	}
	if len(f.unanswered) == 0 {
		b.ownerNotFound(now, f)
		return
	}
	b.askAgain(now, f)
}

// toAsk returns the agents whose answers are missing, or else those that have not excluded the flow, or else agents of other
// services.
func (b *Balancer) toAsk(now time.Time, f *flowState) []netip.AddrPort {
	v := b.holdersOf(now, f.key.Destination)
	all := append(slices.Clone(v.unlisted), v.agents...)
	if missing := f.evidence.Unanswered(all, b.incarnationOf); len(missing) > 0 {
		return missing
	}
	if left := f.evidence.Unexcluded(all, b.incarnationOf); len(left) > 0 {
		return left
	}
	return b.othersToAsk(now, f)
}

// knownAgents returns the addresses whose agents have announced themselves.
func (b *Balancer) knownAgents(list []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, addr := range list {
		if b.agents[addr] != nil {
			out = append(out, addr)
		}
	}
	return out
}

// resetGone resets the caller of a flow that no target holds. Its request may have run before its target ended.
func (b *Balancer) resetGone(now time.Time, f *flowState) {
	sequence, ok := b.resetSequence(f)
	if !ok || b.cfg.Without.ResetGone {
		b.markLost(now, f)
		return
	}
	b.out.Reset(f.key, sequence)
	if route := b.routes.Route(f.key.Destination); f.service == "" && route != nil {
		f.service = routing.Service(route, f.hash)
	}
	b.reportDecision(now, EventGone, f, netip.AddrPort{}, dsrpb.Verdict_VERDICT_NOT_HELD)
	f.held, f.evidence, f.owners = nil, nil, nil
	if f.gone {
		f.phase, f.since = refused, now
		return
	}
	f.gone = true
	b.recordRefusal(now, f, refusal.ReasonTargetGone, refusal.RunUnknown, true)
}

// resetSequence returns the last acknowledgement of the held packets. It returns false when the caller needs no reset
// since it has closed the flow, or when the packets are not of one flow.
func (b *Balancer) resetSequence(f *flowState) (uint32, bool) {
	if f.closed || len(f.held) == 0 {
		return 0, false
	}
	var last uint32
	for i, raw := range f.held {
		s, err := b.codec.Decode(raw)
		if err != nil || s.IsOpening() || s.Has(segment.FIN) || s.Has(segment.RST) {
			return 0, false
		}
		distance := int32(s.Acknowledgement - last)
		if i > 0 && (distance <= -chosenWindow || distance >= chosenWindow) {
			return 0, false
		}
		if i == 0 || distance > 0 {
			last = s.Acknowledgement
		}
	}
	return last, true
}
