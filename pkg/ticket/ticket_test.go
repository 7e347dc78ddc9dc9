package ticket

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func FuzzParse(f *testing.F) {
	f.Add(Ticket{Issuer: "agent-1", Incarnation: 1 << 40, Sequence: 7, Secret: 99, Expiry: time.UnixMilli(1e12)}.String())
	f.Add("")
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse(text)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		require.Equal(t, text, got.String())
	})
}

func TestParseReadsWhatStringWrites(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		want := Ticket{Issuer: "agent-9.marka", Incarnation: r.Uint64(), Sequence: r.Uint64(), Secret: r.Uint64(),
			Expiry: time.UnixMilli(r.Int64N(1 << 50))}
		got, err := Parse(want.String())
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

var start = time.UnixMilli(1_700_000_000_000)

func newTestBook(incarnation uint64, limit int) *Book {
	return NewBook(Options{Issuer: "a", Incarnation: incarnation, TTL: time.Second, Retention: 10 * time.Second,
		Max: limit, Rand: rand.New(rand.NewPCG(incarnation, 1))})
}

func issueOne(t *testing.T, b *Book) Ticket {
	t.Helper()
	tickets, err := b.Issue(start, 1)
	require.NoError(t, err)
	return tickets[0]
}

func TestTransitions(t *testing.T) {
	late := start.Add(2 * time.Second)
	tests := []struct {
		name  string
		steps func(b *Book, t Ticket) bool
		want  State
	}{
		{"unspent expires", func(b *Book, t Ticket) bool { return !b.Spend(late, t, 1).Won }, StateExpired},
		{"cancel before spend", func(b *Book, t Ticket) bool {
			return b.Cancel(start, t) == StateCancelled && !b.Spend(start, t, 1).Won
		}, StateCancelled},
		{"cancel wins against start", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Cancel(start, t) == StateCancelled && !b.Start(t)
		}, StateCancelled},
		{"start wins against cancel", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Start(t) && b.Cancel(start, t) == StateRunning
		}, StateRunning},
		{"waiting does not expire", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Look(late, t).State == StateWaiting
		}, StateWaiting},
		{"second spend loses", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && !b.Spend(start, t, 1).Won
		}, StateWaiting},
		{"ran keeps status", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Start(t) && b.Finish(t, 201) && b.Look(late, t).Status == 201
		}, StateRan},
		{"ran is final", func(b *Book, t Ticket) bool {
			ok := b.Spend(start, t, 1).Won && b.Start(t) && b.Finish(t, 201)
			return ok && !b.Start(t) && !b.Return(t) && !b.Withdraw(start, t) && b.Cancel(start, t) == StateRan
		}, StateRan},
		{"lost is final", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Start(t) && b.Lose(t) && !b.Start(t) && !b.Finish(t, 200)
		}, StateLost},
		{"returned starts again", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Start(t) && b.Return(t) && b.Start(t)
		}, StateRunning},
		{"shed is final", func(b *Book, t Ticket) bool {
			return b.Spend(start, t, 1).Won && b.Start(t) && b.Withdraw(start, t) && !b.Start(t)
		}, StateCancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBook(1, 0)
			ticket := issueOne(t, b)
			require.True(t, tt.steps(b, ticket))
			require.Equal(t, tt.want, b.Look(start, ticket).State)
		})
	}
}

func TestAnotherIncarnationNeverRuns(t *testing.T) {
	old := issueOne(t, newTestBook(1, 0))
	b := newTestBook(2, 0)
	issueOne(t, b)
	require.Equal(t, Result{State: StateForeign}, b.Spend(start, old, 1))
}

func TestGuessedTicketIsForeign(t *testing.T) {
	b := newTestBook(1, 0)
	guess := issueOne(t, b)
	guess.Secret++
	require.Equal(t, StateForeign, b.Spend(start, guess, 1).State)
	later := issueOne(t, b)
	later.Expiry = later.Expiry.Add(time.Hour)
	require.Equal(t, StateForeign, b.Spend(start, later, 1).State)
}

func TestSubmitDetectsDifferentRequest(t *testing.T) {
	b := newTestBook(1, 0)
	ticket := issueOne(t, b)
	require.True(t, b.Spend(start, ticket, 1).Won)
	require.False(t, b.Spend(start, ticket, 1).DifferentRequest)
	require.True(t, b.Spend(start, ticket, 2).DifferentRequest)
}

func TestMemoryIsBoundedWithoutEarlyEviction(t *testing.T) {
	b := newTestBook(1, 100)
	tickets, err := b.Issue(start, 100)
	require.NoError(t, err)
	for _, ticket := range tickets {
		require.True(t, b.Spend(start, ticket, 1).Won)
		require.True(t, b.Start(ticket))
	}
	for _, ticket := range tickets[1:] {
		require.True(t, b.Finish(ticket, 200))
	}
	_, err = b.Issue(start.Add(10*time.Second), 1)
	require.ErrorIs(t, err, ErrFull)
	after := start.Add(20 * time.Second)
	_, err = b.Issue(after, 99)
	require.NoError(t, err)
	require.Equal(t, 100, b.Size())
	require.Equal(t, StateForgotten, b.Spend(after, tickets[1], 1).State)
	require.Equal(t, StateRunning, b.Look(after, tickets[0]).State)
	require.True(t, b.Finish(tickets[0], 200))
	require.Equal(t, StateForgotten, b.Look(after, tickets[0]).State)
}

func BenchmarkIssueSpendFinish(b *testing.B) {
	book := newTestBook(1, 0)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		tickets, err := book.Issue(now, 1)
		if err != nil {
			b.Fatal(err)
		}
		book.Spend(now, tickets[0], 1)
		book.Start(tickets[0])
		book.Finish(tickets[0], 200)
	}
}

func BenchmarkEncodeParse(b *testing.B) {
	ticket := Ticket{Issuer: "marka-hall-route-svc-7", Incarnation: 1 << 60, Sequence: 1 << 20, Secret: 1 << 63,
		Expiry: start}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(ticket.String()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSubmittedTicketMemory measures the memory per submitted ticket.
func BenchmarkSubmittedTicketMemory(b *testing.B) {
	const spent = 1 << 16
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		book := newTestBook(1, 0)
		for range spent {
			tickets, err := book.Issue(start, 1)
			if err != nil {
				b.Fatal(err)
			}
			book.Spend(start, tickets[0], 1)
			book.Start(tickets[0])
			book.Finish(tickets[0], 200)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/spent, "B/ticket")
		runtime.KeepAlive(book)
	}
}
