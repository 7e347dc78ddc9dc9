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
	// toldAnswers is the number of addresses of whose answers balancers are told, those that were served most.
	toldAnswers = 4
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

// replying notes the first packet of an answer. Packets may overtake each other, so that its first byte follows the last answer, or the
// answer to the opening packet where that was seen.
func (e *entry) replying(now time.Time, s segment.Segment) {
	begin := s.Sequence
	switch {
	case e.reply.end != 0:
		begin = e.reply.end
	case e.hasSequence:
		begin = e.initialSequence + 1
	}
	e.reply = reply{pending: true, took: now.Sub(e.busySince), begin: begin, end: begin}
}

// sent notes a packet of the answer.
func (r *reply) sent(s segment.Segment) {
	if end := s.Sequence + uint32(s.Length); r.pending && int32(end-r.end) > 0 {
		r.end = end
	}
}

// replied judges an answer that is whole, since an end closes the flow or the next request comes. One that looks failed beside those of the
// service's other targets counts as a failure.
func (t *Table) replied(now time.Time, key flow.Key, e *entry) {
	if !e.reply.pending {
		return
	}
	a := outlier.Response{Time: e.reply.took, Bytes: e.reply.end - e.reply.begin}
	e.reply.pending = false
	address := flow.AddrHash(key.Destination)
	t.keepAnswer(address, a)
	usual := t.usual[address]
	failed := a.LooksFailed(usual) && !t.cfg.Without.FailedAnswers
	if t.noteOutcome(now, failed) {
		t.judged(now, Judgement{LooksFailed: failed, Answer: a, Usual: usual})
	}
}

// noteOutcome counts an answered request; it reports whether that changes what the target is taken for.
func (t *Table) noteOutcome(now time.Time, failed bool) bool {
	if failed {
		return t.outcomes.RecordFailure(now)
	}
	return t.outcomes.RecordSuccess(now)
}

func (t *Table) keepAnswer(address uint32, a outlier.Response) {
	l := t.answers[address]
	if l == nil {
		if len(t.answers) >= maxAnswers {
			clear(t.answers)
		}
		l = new(outlier.ResponseWindow)
		t.answers[address] = l
	}
	l.Add(a)
}

// Usual takes the least answers of the median target, as a balancer says.
func (t *Table) Usual(answers []*dsrpb.Answer) {
	if len(t.usual) > maxAnswers {
		clear(t.usual)
	}
	for _, a := range answers {
		t.usual[a.Address] = outlier.Response{Time: time.Duration(a.LeastUs) * time.Microsecond, Bytes: a.LeastBytes}
	}
}

// toldLeast are the least answers for the addresses that the target served most.
func (t *Table) toldLeast() []*dsrpb.Answer {
	most := slices.SortedFunc(maps.Keys(t.answers), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(t.answers[y].Count(), t.answers[x].Count()), cmp.Compare(x, y))
	})
	var out []*dsrpb.Answer
	for _, address := range most[:min(len(most), toldAnswers)] {
		if least, known := t.answers[address].Minimum(); known {
			out = append(out, &dsrpb.Answer{
				Address:    address,
				LeastUs:    uint32(least.Time / time.Microsecond),
				LeastBytes: least.Bytes,
			})
		}
	}
	return out
}
