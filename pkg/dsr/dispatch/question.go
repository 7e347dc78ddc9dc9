package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// mayStartSearch reports whether a search may start: the budget allows a message, or the messages that wait for the budget
// have room for another flow.
func (b *Balancer) mayStartSearch(now time.Time) bool {
	return b.maySearch(now) || b.collected < MaxQuestions*len(b.collecting)
}

// mayAsk reports whether a search may ask further agents. Collected questions wait for the budget themselves.
func (b *Balancer) mayAsk(now time.Time, f *flowState) bool {
	return f.evidence != nil && !b.cfg.Without.BatchedSearch || b.maySearch(now)
}

// ask asks an agent whether its target holds a flow, or collects the question with others to the same agent. It reports
// whether the question was collected.
func (b *Balancer) ask(now time.Time, to netip.AddrPort, f *flowState) bool {
	a := b.agents[to]
	if a == nil || !a.answersQueries || b.cfg.Without.BatchedSearch {
		b.sendQuestion(now, to, f)
		return false
	}
	if len(a.collected) == 0 && now.Sub(a.lastQuestion) >= CollectTime && b.maySearch(now) {
		b.sendQuestion(now, to, f)
		return false
	}
	b.collect(now, a, f)
	return true
}

// collect adds a flow to the next questions to an agent. A full message is sent at once if the budget allows.
func (b *Balancer) collect(now time.Time, a *agent, f *flowState) {
	if len(a.collected) >= MaxCollected || slices.Contains(a.collected, f) {
		return
	}
	if len(a.collected) == 0 {
		if len(b.collecting) == 0 {
			b.collectAt = now.Add(CollectTime)
		}
		b.collecting = append(b.collecting, a)
	}
	a.collected = append(a.collected, f)
	b.collected++
	if len(a.collected) >= MaxQuestions && b.maySearch(now) {
		b.collecting = slices.DeleteFunc(b.collecting, func(other *agent) bool { return other == a })
		b.sendCollectedTo(now, a)
	}
}

// sendCollected sends the collected questions that are due, as far as the budget allows.
func (b *Balancer) sendCollected(now time.Time) {
	if len(b.collecting) == 0 || now.Before(b.collectAt) {
		return
	}
	waiting := b.collecting
	b.collecting = nil
	for i, a := range waiting {
		if !b.maySearch(now) {
			b.collecting = append(b.collecting, waiting[i:]...)
			break
		}
		b.sendCollectedTo(now, a)
	}
	b.collectAt = now.Add(CollectTime)
}

// sendCollectedTo asks an agent about the first of its collected flows whose owners are still unknown. The agent is listed
// again while others are left.
func (b *Balancer) sendCollectedTo(now time.Time, a *agent) {
	before := len(a.collected)
	a.collected = slices.DeleteFunc(a.collected, func(f *flowState) bool {
		return f.phase != locating || !slices.Contains(f.unanswered, a.addr)
	})
	n := min(len(a.collected), MaxQuestions)
	if n > 0 {
		b.sendQuestion(now, a.addr, a.collected[:n]...)
	}
	a.collected = slices.Delete(a.collected, 0, n)
	b.collected -= before - len(a.collected)
	if len(a.collected) > 0 {
		b.collecting = append(b.collecting, a)
	}
}

// dropCollected forgets the collected questions to an agent that is gone.
func (b *Balancer) dropCollected(a *agent) {
	b.collected -= len(a.collected)
	a.collected = nil
	b.collecting = slices.DeleteFunc(b.collecting, func(other *agent) bool { return other == a })
}

// sendQuestion sends one message that asks about flows. The budget counts messages.
func (b *Balancer) sendQuestion(now time.Time, to netip.AddrPort, flows ...*flowState) {
	first := flows[0]
	m := dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_LOCATE,
		Flow:          first.hash,
		Configuration: b.routes.Version(),
		Reference:     first.question,

		NewestQuestion: b.question,
	}
	m.SetKey(first.key)
	for _, f := range flows[1:] {
		q := &dsrpb.FlowQuery{Reference: f.question}
		q.SetKey(f.key)
		m.Queries = append(m.Queries, q)
	}
	b.out.ToAgent(to, &m)
	b.searchBudget--
	a := b.agents[to]
	if a == nil {
		return
	}
	a.lastQuestion = now
	if a.unansweredSince.IsZero() {
		a.unansweredSince = now
	}
}

// receiveAnswers handles an agent's answers about one or several flows.
func (b *Balancer) receiveAnswers(now time.Time, from netip.AddrPort, key flow.Key, m *dsrpb.Message) {
	if a := b.agents[from]; a != nil {
		a.recordHoldings(m)
	}
	if f := b.flows[key]; f != nil {
		b.located(now, f, from, m)
	}
	for _, q := range m.Queries {
		key, ok := q.Key()
		if !ok {
			continue
		}
		if f := b.flows[key]; f != nil {
			b.located(now, f, from, &dsrpb.Message{Verdict: q.Verdict, Reference: q.Reference, HasSequence: q.HasSequence})
		}
	}
}
