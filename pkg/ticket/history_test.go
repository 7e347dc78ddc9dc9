package ticket

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// bookAPI is the set of methods that the histories call.
type bookAPI interface {
	Spend(now time.Time, t Ticket, fingerprint uint64) Result
	Start(t Ticket) bool
	Withdraw(now time.Time, t Ticket) bool
	Finish(t Ticket, status int) bool
	Cancel(now time.Time, t Ticket) State
	Look(now time.Time, t Ticket) Result
}

// operation is one call on one ticket.
type operation struct {
	ticket uint64
	call   string
}

type observed struct {
	ok    bool
	state State
}

// model is the sequential specification of one ticket.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[uint64][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(operation).ticket
			parts[k] = append(parts[k], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return StateIssued },
	Step: func(state, input, output any) (bool, any) {
		s, o := state.(State), output.(observed)
		next, ok := s, false
		switch input.(operation).call {
		case "spend":
			next, ok = transition(s, StateWaiting, StateIssued)
		case "start":
			next, ok = transition(s, StateRunning, StateWaiting)
		case "finish":
			next, ok = transition(s, StateRan, StateRunning)
		case "withdraw":
			next, ok = transition(s, StateCancelled, StateWaiting, StateRunning)
		case "cancel":
			next, _ = transition(s, StateCancelled, StateIssued, StateWaiting)
			return o.state == next, next
		case "look":
			return o.state == s, s
		}
		return o.ok == ok, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

func transition(s, to State, from ...State) (State, bool) {
	for _, f := range from {
		if s == f {
			return to, true
		}
	}
	return s, false
}

func apply(b bookAPI, t Ticket, call string) observed {
	switch call {
	case "spend":
		return observed{ok: b.Spend(start, t, 1).Won}
	case "start":
		return observed{ok: b.Start(t)}
	case "finish":
		return observed{ok: b.Finish(t, 200)}
	case "withdraw":
		return observed{ok: b.Withdraw(start, t)}
	case "cancel":
		return observed{state: b.Cancel(start, t)}
	}
	return observed{state: b.Look(start, t).State}
}

// record makes random calls on the same tickets from several goroutines.
func record(b bookAPI, tickets []Ticket, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	calls := []string{"spend", "start", "finish", "withdraw", "cancel", "look"}
	begin := time.Now()
	var wg sync.WaitGroup
	for client := range 6 {
		r := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for range 15 * len(tickets) {
				t := tickets[r.IntN(len(tickets))]
				call := calls[r.IntN(len(calls))]
				from := time.Since(begin).Nanoseconds()
				out := apply(b, t, call)
				to := time.Since(begin).Nanoseconds()
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: operation{t.Sequence, call}, Call: from,
					Output: out, Return: to})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

// doubleSubmitBook lets a second submission win.
type doubleSubmitBook struct{ *Book }

func (b doubleSubmitBook) Spend(now time.Time, t Ticket, f uint64) Result {
	res := b.Book.Spend(now, t, f)
	res.Won = res.Won || res.State == StateWaiting
	return res
}

// falseCancelBook reports a waiting ticket as cancelled without cancelling it.
type falseCancelBook struct{ *Book }

func (b falseCancelBook) Cancel(now time.Time, t Ticket) State {
	if b.Look(now, t).State == StateWaiting {
		return StateCancelled
	}
	return b.Book.Cancel(now, t)
}

func TestHistories(t *testing.T) {
	tests := []struct {
		name string
		wrap func(*Book) bookAPI
		want bool
	}{
		{"book", func(b *Book) bookAPI { return b }, true},
		{"runs twice", func(b *Book) bookAPI { return doubleSubmitBook{b} }, false},
		{"reports a cancel that did not happen", func(b *Book) bookAPI { return falseCancelBook{b} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			kept := true
			for seed := range uint64(20) {
				b := newTestBook(seed, 0)
				tickets, err := b.Issue(start, 20)
				require.NoError(t, err)
				result := porcupine.CheckOperationsTimeout(model, record(tt.wrap(b), tickets, seed), 10*time.Second)
				require.NotEqual(t, porcupine.Unknown, result)
				kept = kept && result == porcupine.Ok
			}
			require.Equal(t, tt.want, kept)
		})
	}
}
