package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// reportedAnswers is the number of addresses whose answers are reported to balancers, those served most.
	reportedAnswers = 4
	// maxAnswers bounds the addresses whose answers are kept.
	maxAnswers = 256
)

// reply is the observed part of the target's answer to the current request.
type reply struct {
	// pending is set while the answer is in progress; took is the time until it began.
	pending bool
	took    time.Duration
	// begin is the sequence number of its first byte, end the one after the last byte seen.
	begin, end uint32
}

// startReply records the first packet of an answer. Packets may overtake each other, so the first byte is assumed to
// follow the last answer, or the answer to the opening packet where that was seen.
func (e *entry) startReply(now time.Time, s segment.Segment) {
	begin := s.Sequence
	switch {
	case e.reply.end != 0:
		begin = e.reply.end
	case e.hasSequence:
		begin = e.initialSequence + 1
	}
	e.reply = reply{pending: true, took: now.Sub(e.busySince), begin: begin, end: begin}
}

// extend records a packet of the answer.
func (r *reply) extend(s segment.Segment) {
	if end := s.Sequence + uint32(s.Length); r.pending && int32(end-r.end) > 0 {
		r.end = end
	}
}

// finishReply evaluates an answer once it is complete: when an end closes the flow or the next request comes. One
// that looks failed compared with those of the service's other targets counts as a failure.
func (t *Table) finishReply(now time.Time, key flow.Key, e *entry) {
	if !e.reply.pending {
		return
	}
	a := outlier.Answer{Time: e.reply.took, Bytes: e.reply.end - e.reply.begin}
	e.reply.pending = false
	address := flow.AddrHash(key.Destination)
	t.recordAnswer(address, a)
	median := t.median[address]
	failed := a.LooksFailed(median) && !t.cfg.Without.FailedAnswers
	if t.recordOutcome(now, failed) {
		t.reportHealthChange(now, HealthChange{LooksFailed: failed, Answer: a, Median: median})
	}
}

// recordOutcome counts an answered request; it reports whether that changes the outlier state of the target.
func (t *Table) recordOutcome(now time.Time, failed bool) bool {
	if failed {
		return t.outcomes.RecordFailure(now)
	}
	return t.outcomes.RecordSuccess(now)
}

func (t *Table) recordAnswer(address uint32, a outlier.Answer) {
	l := t.minAnswers[address]
	if l == nil {
		if len(t.minAnswers) >= maxAnswers {
			clear(t.minAnswers)
		}
		l = new(outlier.AnswerWindow)
		t.minAnswers[address] = l
	}
	l.Add(a)
}

// Usual sets the median answers: the minimum answers of the median target, as a balancer reports them.
func (t *Table) Usual(answers []*dsrpb.Answer) {
	if len(t.median) > maxAnswers {
		clear(t.median)
	}
	for _, a := range answers {
		t.median[a.Address] = outlier.Answer{Time: time.Duration(a.LeastUs) * time.Microsecond, Bytes: a.LeastBytes}
	}
}

// reportedMinAnswers returns the minimum answers for the addresses that the target served most.
func (t *Table) reportedMinAnswers() []*dsrpb.Answer {
	most := slices.SortedFunc(maps.Keys(t.minAnswers), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(t.minAnswers[y].Count(), t.minAnswers[x].Count()), cmp.Compare(x, y))
	})
	var out []*dsrpb.Answer
	for _, address := range most[:min(len(most), reportedAnswers)] {
		if least, known := t.minAnswers[address].Minimum(); known {
			out = append(out, &dsrpb.Answer{
				Address:    address,
				LeastUs:    uint32(least.Time / time.Microsecond),
				LeastBytes: least.Bytes,
			})
		}
	}
	return out
}
