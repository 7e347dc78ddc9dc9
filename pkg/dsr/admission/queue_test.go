package admission

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

const work = 25 * time.Millisecond

var now = time.Unix(1000, 0)

func key(port int) flow.Key {
	return flow.Key{Source: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port))}
}

// opening is a flow whose first packet arrived age ago, with the promised time of a small request.
func opening(port int, age time.Duration, priority int) Request {
	return Request{
		Key:      key(port),
		Arrived:  now.Add(-age),
		Aim:      120 * time.Millisecond,
		Timeout:  1200 * time.Millisecond,
		Priority: priority,
		LastSent: now.Add(-age),
	}
}

// retransmitted is a flow whose caller has sent the opening packet again, age after the first time.
func retransmitted(o Request, age time.Duration) Request {
	o.RecordSent(age, 0)
	return o
}

// order empties the queue.
func order(q *Queue) []uint16 {
	var out []uint16
	for {
		o, ok := q.Next(now, work)
		if !ok {
			return out
		}
		out = append(out, o.Key.Source.Port())
	}
}

func TestTheOrderServesCallersInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting []Request
		want    []uint16
	}{
		{"fresh before late", []Request{opening(1, 600*time.Millisecond, 2), opening(2, 0, 2)}, []uint16{2, 1}},
		{"late ones by their last transmission", []Request{opening(1, 900*time.Millisecond, 2), opening(2, 300*time.Millisecond, 2)}, []uint16{2, 1}},
		{"a retransmission counts", []Request{opening(1, 300*time.Millisecond, 2), retransmitted(opening(2, 610*time.Millisecond, 2), 600*time.Millisecond)}, []uint16{2, 1}},
		{"a late one goes after a fresh one of lower rank", []Request{opening(1, 600*time.Millisecond, 1), opening(2, 0, 2)}, []uint16{2, 1}},
		{"fresh ones by rank", []Request{opening(1, 20*time.Millisecond, 2), opening(2, 0, 1)}, []uint16{2, 1}},
		{"fresh ones of a rank by the time left", []Request{opening(1, 0, 2), opening(2, 20*time.Millisecond, 2)}, []uint16{2, 1}},
		{"one that would be late by the round trips is late", []Request{opening(1, 90*time.Millisecond, 1), opening(2, 10*time.Millisecond, 2)}, []uint16{2, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q Queue
			for _, o := range c.waiting {
				require.True(t, q.Add(now, o, work, 3))
			}
			require.Equal(t, c.want, order(&q))
		})
	}
}

func TestAFlowWhoseTurnComesTooLateIsNotQueued(t *testing.T) {
	var q Queue
	for i := range 60 {
		require.True(t, q.Add(now, opening(i, 0, 1), work, 3))
	}
	// 60 flows of rank 1 ahead of it take 500 ms on three slots; its caller leaves in 400 ms.
	require.False(t, q.Add(now, opening(100, 800*time.Millisecond, 2), work, 3))
	require.True(t, q.Add(now, opening(101, 0, 2), work, 3))
}

func TestFlowsOfGoneCallersExpire(t *testing.T) {
	var q Queue
	require.True(t, q.Add(now, opening(1, 1100*time.Millisecond, 2), work, 3))
	require.True(t, q.Add(now, opening(2, 0, 2), work, 3))
	_, ok := q.Expired(now, work)
	require.False(t, ok)
	o, ok := q.Expired(now.Add(100*time.Millisecond), work)
	require.True(t, ok)
	require.Equal(t, key(1), o.Key)
	q.Remove(key(2))
	require.Zero(t, q.Len())
}

func TestRequestsOnOpenFlowsWaitInTheSameOrder(t *testing.T) {
	var q Queue
	require.True(t, q.Add(now, opening(1, 0, 2), work, 3))
	q.AddOpen(opening(2, 0, 1))
	q.AddOpen(opening(3, 10*time.Millisecond, 2))
	require.Equal(t, 1, q.NewFlows())
	require.Equal(t, []uint16{2, 3, 1}, order(&q))
	require.Zero(t, q.NewFlows())
}

func TestARequestOnAnOpenFlowIsDueWhileItCanBeInTime(t *testing.T) {
	var q Queue
	require.True(t, q.Add(now, opening(1, 0, 2), work, 3))
	_, waits := q.NextDue(work, 0)
	require.False(t, waits, "a new flow is not due")
	q.AddOpen(opening(2, 0, 2))
	at, waits := q.NextDue(work, 0)
	require.True(t, waits)
	r := opening(2, 0, 2)
	require.True(t, q.timely(r, at, work))
	require.False(t, q.timely(r, at.Add(1), work))
	sooner, _ := q.NextDue(work, work)
	require.Equal(t, at.Add(-work), sooner, "the target first finishes what it has")
	_, due := q.Due(at.Add(-1), work, 0)
	require.False(t, due)
	got, due := q.Due(at, work, 0)
	require.True(t, due)
	require.Equal(t, key(2), got.Key)
}

func TestARequestWithoutAPromisedTimeIsDueBeforeItsTimeout(t *testing.T) {
	var q Queue
	r := opening(1, 0, 2)
	r.Aim = 0
	q.AddOpen(r)
	at, _ := q.NextDue(work, 0)
	require.Equal(t, r.deadline().Add(-work-DefaultRoundTrips), at)
}

func TestANewFlowThatWouldBeLateIsDeclined(t *testing.T) {
	var q Queue
	r := opening(100, 0, 1)
	require.False(t, q.Overloaded(now, r, work, 3, 0, 0))
	require.True(t, q.Overloaded(now, r, work, 3, 0, 100*time.Millisecond), "the target is behind")
	for i := range 20 {
		q.AddOpen(opening(i, 10*time.Millisecond, 2))
	}
	require.False(t, q.Overloaded(now, r, work, 3, 0, 0), "less urgent requests do not delay it")
	less := opening(101, 0, 2)
	require.True(t, q.Overloaded(now, less, work, 3, 0, 0))
	q.Without.RefuseLate = true
	require.False(t, q.Overloaded(now, less, work, 3, 0, 0))
}

func TestFewLateNewFlowsWait(t *testing.T) {
	var q Queue
	late := opening(100, 600*time.Millisecond, 2)
	for i := range 3 {
		require.False(t, q.Overloaded(now, late, work, 3, 0, 0))
		require.True(t, q.Add(now, opening(i, 600*time.Millisecond, 2), work, 3))
	}
	require.True(t, q.Overloaded(now, late, work, 3, 0, 0))
	_, returned := q.Late(now, work)
	require.False(t, returned, "those that came late stay")
}

func TestAQueuedNewFlowIsReturnedWhenItBecomesLate(t *testing.T) {
	var q Queue
	require.True(t, q.Add(now, opening(1, 0, 2), work, 3))
	q.AddOpen(opening(2, 0, 2))
	_, late := q.Late(now, work)
	require.False(t, late)
	r, late := q.Late(now.Add(100*time.Millisecond), work)
	require.True(t, late)
	require.Equal(t, key(1), r.Key)
	require.Equal(t, 1, q.Len())
}

func TestAPromiseActsOnWhatWaits(t *testing.T) {
	var q Queue
	urgent := opening(1, 0, 1)
	urgent.Key.Destination = netip.MustParseAddrPort("10.0.0.2:80")
	q.AddOpen(urgent)
	q.AddOpen(opening(2, 0, 2))
	q.Promise(urgent.Key.Destination, 3, 120*time.Millisecond, time.Second)
	require.Equal(t, []uint16{2, 1}, order(&q))
}

// Callers that leave send nothing, but stop retransmitting.
func TestFlowsWithOverdueRetransmissionsExpire(t *testing.T) {
	var q Queue
	o := opening(1, 0, 2)
	o.RecordSent(0, 200*time.Millisecond)
	require.True(t, q.Add(now, o, work, 3))
	late := now.Add(200*time.Millisecond + RetransmissionSlack)
	_, ok := q.Expired(late, work)
	require.False(t, ok)
	q.RecordSent(key(1), 200*time.Millisecond, 400*time.Millisecond)
	q.RecordSent(key(1), 0, 200*time.Millisecond)
	_, ok = q.Expired(late.Add(time.Millisecond), work)
	require.False(t, ok, "the retransmission came, and a duplicate of the first packet after it")
	_, ok = q.Expired(now.Add(600*time.Millisecond+RetransmissionSlack+time.Millisecond), work)
	require.True(t, ok)
}

// After an outage of 1.2 s the backlog arrives at once, beside fresh requests at 87% of the target's capacity. The
// queue must keep most fresh requests in time, where first in, first out keeps none for seconds.
func TestFreshRequestsStayInTimeBesideABacklog(t *testing.T) {
	inTime, servedLate := playBacklog((*Queue).Next)
	fifoInTime, _ := playBacklog(func(q *Queue, _ time.Time, _ time.Duration) (Request, bool) {
		if q.Len() == 0 {
			return Request{}, false
		}
		return q.take(0), true
	})
	require.Greater(t, inTime, 180, "of 209 fresh requests")
	require.Less(t, fifoInTime, 40)
	require.Positive(t, servedLate, "slots that fresh requests leave free serve the backlog")
}

// playBacklog simulates two seconds on three slots and returns how many requests were offered in time and late.
func playBacklog(next func(*Queue, time.Time, time.Duration) (Request, bool)) (inTime, late int) {
	var q Queue
	for i := range 90 {
		q.Add(now, opening(i, time.Duration(i)*13*time.Millisecond, 2), work, 3)
	}
	const freshEvery = 9600 * time.Microsecond // 87% of what three slots do
	nextFresh, slots := now, []time.Time{now, now, now}
	for t := now; t.Before(now.Add(2 * time.Second)); t = t.Add(time.Millisecond) {
		for !nextFresh.After(t) {
			o := opening(1000+int(nextFresh.Sub(now)/time.Millisecond), 0, 2)
			o.Arrived = t
			q.Add(t, o, work, 3)
			nextFresh = nextFresh.Add(freshEvery)
		}
		for i := range slots {
			if slots[i].After(t) {
				continue
			}
			for {
				if _, ok := q.Expired(t, work); !ok {
					break
				}
			}
			o, ok := next(&q, t, work)
			if !ok {
				continue
			}
			slots[i] = t.Add(work)
			if !slots[i].Add(DefaultRoundTrips).After(o.Arrived.Add(o.Aim)) {
				inTime++
			} else {
				late++
			}
		}
	}
	return inTime, late
}

func TestEveryFlowLeavesTheQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		in, out := map[flow.Key]bool{}, map[flow.Key]int{}
		at := now
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			o := Request{Key: key(i), Arrived: at, Aim: 100 * time.Millisecond, Timeout: 500 * time.Millisecond, Priority: i % 3}
			if rapid.Bool().Draw(t, "add") && q.Add(at, o, work, 2) {
				in[o.Key] = true
			}
			if rapid.Bool().Draw(t, "expire") {
				if o, ok := q.Expired(at, work); ok {
					out[o.Key]++
					require.True(t, o.expired(at, work))
				}
			}
			if rapid.Bool().Draw(t, "next") {
				if o, ok := q.Next(at, work); ok {
					out[o.Key]++
				}
			}
		}
		for _, o := range q.waiting {
			out[o.Key]++
		}
		require.Len(t, out, len(in))
		for k, n := range out {
			require.Equal(t, 1, n, k)
		}
	})
}
