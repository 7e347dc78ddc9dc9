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
	// reportedAnswers is the number of addresses of whose answers balancers are told, those that were served most.
	reportedAnswers = 4
	// maxAnswers bounds the addresses whose answers are kept.
	maxAnswers = 256
)

// reply is what is seen of the target's answer to the present request.
type reply struct {
	// pending is set while the answer is under way; took is the time until it began.
	pending bool
	took    time.Duration
	// begin is the number of its first byte, end the one after the last that was seen.
	begin, end uint32
}

// startReply notes the first packet of an answer. Packets may overtake each other, so that its first byte follows the last answer, or the
// answer to the opening packet where that was seen.
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

// extend notes a packet of the answer.
func (r *reply) extend(s segment.Segment) {
	if end := s.Sequence + uint32(s.Length); r.pending && int32(end-r.end) > 0 {
		r.end = end
	}
}

// finishReply judges an answer that is whole, since an end closes the flow or the next request comes. One that looks failed beside those of the
// service's other targets counts as a failure.
func (t *Table) finishReply(now time.Time, key flow.Key, e *entry) {
	if !e.reply.pending {
		return
	}
	a := outlier.Answer{Time: e.reply.took, Bytes: e.reply.end - e.reply.begin}
	e.reply.pending = false
	address := flow.AddrHash(key.Destination)
	t.recordAnswer(address, a)
	usual := t.medianAnswers[address]
	failed := a.LooksFailed(usual) && !t.cfg.Without.FailedAnswers
	if t.recordOutcome(now, failed) {
		t.reportHealthChange(now, HealthChange{LooksFailed: failed, Answer: a, Median: usual})
	}
}

// recordOutcome counts an answered request; it reports whether that changes what the target is taken for.
func (t *Table) recordOutcome(now time.Time, failed bool) bool {
	if failed {
		return t.outcomes.Failed(now)
	}
	return t.outcomes.Succeeded(now)
}

func (t *Table) recordAnswer(address uint32, a outlier.Answer) {
	l := t.minAnswers[address]
	if l == nil {
		if len(t.minAnswers) >= maxAnswers {
			clear(t.minAnswers)
		}
		l = new(outlier.Least)
		t.minAnswers[address] = l
	}
	l.Add(a)
}

// SetMedianAnswers takes the least answers of the median target, as a balancer says.
func (t *Table) SetMedianAnswers(answers []*dsrpb.Answer) {
	if len(t.medianAnswers) > maxAnswers {
		clear(t.medianAnswers)
	}
	for _, a := range answers {
		t.medianAnswers[a.Address] = outlier.Answer{Time: time.Duration(a.LeastUs) * time.Microsecond, Bytes: a.LeastBytes}
	}
}

// reportedMinAnswers are the least answers for the addresses that the target served most.
func (t *Table) reportedMinAnswers() []*dsrpb.Answer {
	most := slices.SortedFunc(maps.Keys(t.minAnswers), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(t.minAnswers[y].Count(), t.minAnswers[x].Count()), cmp.Compare(x, y))
	})
	var out []*dsrpb.Answer
	for _, address := range most[:min(len(most), reportedAnswers)] {
		if least, known := t.minAnswers[address].Value(); known {
			out = append(out, &dsrpb.Answer{
				Address:    address,
				LeastUs:    uint32(least.Time / time.Microsecond),
				LeastBytes: least.Bytes,
			})
		}
	}
	return out
}
