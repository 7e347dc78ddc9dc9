package revision

import (
	"encoding/binary"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// maxProcesses bounds the processes of one history.
const maxProcesses = 16

// historyOp is one operation of a history: a write of the head, or an adoption.
type historyOp struct {
	adopt   bool
	process int
	number  uint64
	// sum is the checksum of the revision's content.
	sum uint64
	// unknown is set when the writer did not learn the outcome.
	unknown bool
}

// headState is the state of the model: the checksums of all accepted revisions, and the revision of each balancer.
type headState struct {
	sums    string
	adopted [maxProcesses]uint64
}

func (s headState) last() uint64 { return uint64(len(s.sums) / 8) }

func (s headState) sum(number uint64) uint64 {
	return binary.BigEndian.Uint64([]byte(s.sums[(number-1)*8 : number*8]))
}

// write returns the state after a write of the head, and false when the write is not allowed. The head may keep its
// revision, as with a claim, or rise by one.
func (s headState) write(o historyOp) (headState, bool) {
	switch {
	case o.number == s.last():
		return s, o.number == 0 || s.sum(o.number) == o.sum
	case o.number == s.last()+1:
		s.sums += string(binary.BigEndian.AppendUint64(nil, o.sum))
		return s, true
	}
	return s, false
}

// adopt returns the state after an adoption, and false unless the head named that content and the number is higher
// than the balancer's earlier ones.
func (s headState) adopt(o historyOp) (headState, bool) {
	if o.number == 0 {
		return s, s.adopted[o.process] == 0
	}
	if o.number > s.last() || s.sum(o.number) != o.sum || o.number <= s.adopted[o.process] {
		return s, false
	}
	s.adopted[o.process] = o.number
	return s, true
}

func (s headState) step(o historyOp) []any {
	if o.adopt {
		return asStates(s.adopt(o))
	}
	next := asStates(s.write(o))
	if o.unknown {
		next = append(next, s)
	}
	return next
}

func asStates(s headState, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{headState{}} },
	Step: func(state, input, _ any) []any { return state.(headState).step(input.(historyOp)) },
	Equal: func(a, b any) bool {
		return a.(headState) == b.(headState)
	},
}).ToModel()

// history records operations in the order of a shared counter.
type history struct {
	clock atomic.Int64

	mu   sync.Mutex
	ops  []porcupine.Operation
	last [maxProcesses]int64
	// accepted are the revisions that balancers adopted, by number.
	accepted map[uint64]resource.Revision
	// holders are the holders of each term.
	holders map[uint64]string
	// shared names a term that two processes held.
	shared string
}

func newHistory() *history {
	return &history{accepted: make(map[uint64]resource.Revision), holders: make(map[uint64]string)}
}

func (h *history) recordGrant(g lease.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other, ok := h.holders[g.Term]; ok && other != g.Holder {
		h.shared = fmt.Sprintf("term %d is held by %s and %s", g.Term, other, g.Holder)
	}
	h.holders[g.Term] = g.Holder
}

func (h *history) tick() int64 { return h.clock.Add(1) }

func (h *history) recordWrite(o historyOp, call int64) {
	end := h.tick()
	if o.unknown {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: o.process, Input: o, Call: call, Return: end})
}

// recordAdoption records an adoption, which began after the same balancer's previous adoption.
func (h *history) recordAdoption(process int, r resource.Revision) {
	o := historyOp{adopt: true, process: process, number: r.Number, sum: contentSum(r)}
	h.mu.Lock()
	defer h.mu.Unlock()
	end := h.tick()
	h.ops = append(h.ops, porcupine.Operation{ClientId: process, Input: o, Call: h.last[process], Return: end})
	h.last[process] = h.tick()
	h.accepted[r.Number] = r
}

// check returns the first violation in the history, or an empty string.
func (h *history) check() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shared != "" {
		return h.shared
	}
	if got := porcupine.CheckOperationsTimeout(headModel, h.ops, 20*time.Second); got != porcupine.Ok {
		return fmt.Sprintf("history of %d operations is not linearizable: %s", len(h.ops), got)
	}
	for n := uint64(2); ; n++ {
		now, ok := h.accepted[n]
		if !ok {
			return ""
		}
		if bad := reverted(h.accepted[n-1], now); bad != "" {
			return fmt.Sprintf("revision %d: %s", n, bad)
		}
	}
}

// reverted describes a service whose accepted version decreases, or returns an empty string.
func reverted(before, now resource.Revision) string {
	old := byName(before.Services)
	for _, c := range now.Services {
		if c.Version < old[c.Name].Version {
			return fmt.Sprintf("%s reverts from version %d to %d", c.Name, old[c.Name].Version, c.Version)
		}
	}
	return ""
}

func contentSum(r resource.Revision) uint64 {
	if r.Number == 0 {
		return 0
	}
	b, err := Encode(r)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}
