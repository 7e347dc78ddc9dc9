package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// ask asks an agent whether its target holds a flow, or collects the question with others to the same agent. It reports
// whether the question was collected.
func (b *Balancer) ask(now time.Time, to netip.AddrPort, f *flowState) bool {
	a := b.agents[to]
	if a == nil || !a.answersQueries || b.cfg.Without.BatchedSearch {
		b.sendQuestion(now, to, f)
		return false
	}
	if len(a.collected) == 0 && now.Sub(a.lastQuestion) >= CollectTime && b.maySearch(now) {
		a.lastQuestion = now
		b.sendQuestion(now, to, f)
		return false
	}
	b.collect(now, a, f)
	return true
}

// collect adds a flow to the next question to an agent. A full question is sent at once if the budget allows, else the
// flow is not asked about before its search asks again.
func (b *Balancer) collect(now time.Time, a *agent, f *flowState) {
	if len(a.collected) >= MaxQuestions || slices.Contains(a.collected, f) {
		return
	}
	if len(a.collected) == 0 {
		if len(b.collecting) == 0 {
			b.collectAt = now.Add(CollectTime)
		}
		b.collecting = append(b.collecting, a)
	}
	a.collected = append(a.collected, f)
	if len(a.collected) == MaxQuestions && b.maySearch(now) {
		b.collecting = slices.DeleteFunc(b.collecting, func(other *agent) bool { return other == a })
		b.sendCollectedTo(now, a)
	}
}

// sendCollected sends the collected questions that are due, as far as the budget allows.
func (b *Balancer) sendCollected(now time.Time) {
	if len(b.collecting) == 0 || now.Before(b.collectAt) {
		return
	}
	sent := 0
	for sent < len(b.collecting) && b.maySearch(now) {
		b.sendCollectedTo(now, b.collecting[sent])
		sent++
	}
	b.collecting = slices.Delete(b.collecting, 0, sent)
	b.collectAt = now.Add(CollectTime)
}

// sendCollectedTo asks an agent about the collected flows whose owners are still unknown.
func (b *Balancer) sendCollectedTo(now time.Time, a *agent) {
	flows := slices.DeleteFunc(a.collected, func(f *flowState) bool {
		return f.phase != locating || !slices.Contains(f.unanswered, a.addr)
	})
	if len(flows) > 0 {
		a.lastQuestion = now
		b.sendQuestion(now, a.addr, flows...)
	}
	clear(a.collected)
	a.collected = a.collected[:0]
}

// sendQuestion sends one message that asks about flows. The budget counts messages.
func (b *Balancer) sendQuestion(now time.Time, to netip.AddrPort, flows ...*flowState) {
	first := flows[0]
	m := dsrpb.Message{
		Kind:          dsrpb.Kind_KIND_LOCATE,
		Flow:          first.hash,
		Configuration: b.routes.Version(),
		Reference:     first.question,
	}
	m.SetKey(first.key)
	for _, f := range flows[1:] {
		q := &dsrpb.FlowQuery{Reference: f.question}
		q.SetKey(f.key)
		m.Queries = append(m.Queries, q)
	}
	b.out.ToAgent(to, &m)
	b.searchBudget--
}

// receiveAnswers handles an agent's answers about one or several flows.
func (b *Balancer) receiveAnswers(now time.Time, from netip.AddrPort, key flow.Key, m *dsrpb.Message) {
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
