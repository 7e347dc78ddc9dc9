package refusal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// logMirror is a Mirror that hands records to another Log.
type logMirror struct {
	from string
	to   *Log
	down bool
}

func (p *logMirror) Mirror(_ context.Context, records []Record) error {
	if p.down {
		return errors.New("peer is down")
	}
	p.to.Adopt(p.from, records)
	return nil
}

// startLog runs a log until the returned function is called, which stops it without a final write, as a crash does.
func startLog(t *testing.T, cfg Config) (*Log, func()) {
	l := NewLog(cfg)
	return l, runLog(t, l)
}

// runLog runs an existing log; see startLog.
func runLog(t *testing.T, l *Log) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	kill := func() {
		cancel()
		<-done
	}
	t.Cleanup(kill)
	return kill
}

// refuse records one refusal of a caller; the detail distinguishes the refusals.
func refuse(l *Log, caller int) string {
	a := netip.AddrFrom4([4]byte{10, byte(caller >> 8), byte(caller), 7})
	return l.Record(Record{
		Service: "route-svc", Reason: ReasonAllFull, Run: RunNo, Revision: 5, Flow: uint64(caller),
		Caller:      netip.AddrPortFrom(a, 40000),
		Destination: netip.MustParseAddrPort("192.0.2.1:443"),
		Detail:      fmt.Sprintf("4 targets at 3 of 3 slots, caller %d", caller),
	})
}

// find returns the matching records of the last day.
func find(t *testing.T, s objectapi.Store, q Query) QueryResult {
	t.Helper()
	q.From, q.To = time.Now().Add(-24*time.Hour), time.Now()
	a, err := NewReader(s).Find(t.Context(), q)
	require.NoError(t, err)
	require.Empty(t, a.Unreadable)
	return a
}

func TestRecordFillsEmptyFields(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLog(Config{Process: "agent-1", Incarnation: 3, Now: func() time.Time { return now }})
	a, b := l.Record(Record{Reason: ReasonAllFull}), l.Record(Record{Reason: ReasonAllFull})
	require.NotEqual(t, a, b)
	got := l.Held()
	require.Len(t, got, 2)
	require.Equal(t, Record{ID: a, Time: now, Count: 1, DecidedBy: "agent-1", Reason: ReasonAllFull}, got[0])
	require.Equal(t, "given", l.Record(Record{ID: "given"}))
}

// TestStoreFaults checks that after a store fault every refusal is stored exactly once, and every object is written
// once.
func TestStoreFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults store.Faults
	}{
		{"None", store.Faults{}},
		{"Outage", store.Faults{Outage: true}},
		{"Slow", store.Faults{Latency: 15 * time.Second}},
		{"EveryAnswerLost", store.Faults{LoseShare: 1}},
		{"EveryWriteLost", store.Faults{DropShare: 1}},
		{"SomeAnswersLost", store.Faults{LoseShare: 0.4, DropShare: 0.3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Config{Seed: 1})
				s.SetFaults(c.faults)
				l, _ := startLog(t, Config{Process: "agent-1", Store: s})
				ids := make(map[string]bool)
				for i := range 300 {
					ids[refuse(l, i)] = true
					time.Sleep(time.Second)
				}
				s.SetFaults(store.Faults{})
				time.Sleep(3 * time.Minute)
				a := find(t, s, Query{})
				require.EqualValues(t, 300, a.Refusals)
				for _, r := range a.Records {
					require.True(t, ids[r.ID])
					delete(ids, r.ID)
				}
				require.Empty(t, ids)
				require.Zero(t, l.Stats().Held)
				require.EqualValues(t, s.Applied(), l.Stats().Batches, "objects written once each")
			})
		})
	}
}

// TestCrash stops a process at several moments: no mirrored record may be lost or counted twice.
func TestCrash(t *testing.T) {
	for _, c := range []struct {
		name     string
		down     bool
		after    time.Duration
		peerDied bool
		lost     uint64
	}{
		{"BeforeAnyWrite", true, 0, true, 0},
		{"AfterSomeWrites", false, 10 * time.Second, true, 0},
		{"AfterAllWrites", false, 3 * time.Minute, true, 0},
		// Without PeerDied the records must be missing, which shows that the check detects a loss.
		{"PeerNotTold", true, 0, false, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Config{Seed: 1})
				s.SetFaults(store.Faults{Outage: c.down})
				adopter, _ := startLog(t, Config{Process: "agent-2", Store: s})
				l, kill := startLog(t, Config{Process: "agent-1", Store: s, Mirror: &logMirror{from: "agent-1", to: adopter}})
				for i := range 200 {
					refuse(l, i)
					time.Sleep(20 * time.Millisecond)
				}
				require.NoError(t, l.Sync(t.Context()))
				time.Sleep(c.after)
				kill()
				if c.peerDied {
					adopter.PeerDied("agent-1")
				}
				s.SetFaults(store.Faults{})
				time.Sleep(3 * time.Minute)
				require.EqualValues(t, 200-c.lost, find(t, s, Query{}).Refusals)
			})
		})
	}
}

// TestMirrorChanges checks that a second peer gets all unwritten records after the first peer was lost.
func TestMirrorChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		s.SetFaults(store.Faults{Outage: true})
		first, second := NewLog(Config{Process: "agent-2"}), NewLog(Config{Process: "agent-3", Store: s})
		p := &logMirror{from: "agent-1", to: first}
		l, kill := startLog(t, Config{Process: "agent-1", Store: s, Mirror: p})
		for i := range 500 {
			refuse(l, i)
		}
		require.NoError(t, l.Sync(t.Context()))
		p.down = true
		refuse(l, 500)
		time.Sleep(time.Second)
		require.NotZero(t, l.Stats().MirrorErrors)
		p.down, p.to = false, second
		l.MirrorChanged()
		require.NoError(t, l.Sync(t.Context()))
		kill()
		require.EqualValues(t, 501, second.Stats().AdoptedRefusals)
		second.PeerDied("agent-1")
		s.SetFaults(store.Faults{})
		require.NoError(t, second.Drain(t.Context()))
		require.EqualValues(t, 501, find(t, s, Query{}).Refusals)
	})
}

// TestReleaseAndNewIncarnation checks that a peer releases written records, and takes over those of an earlier
// incarnation.
func TestReleaseAndNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		adopter := NewLog(Config{Process: "agent-2", Store: s})
		p := &logMirror{from: "agent-1", to: adopter}
		l, kill := startLog(t, Config{Process: "agent-1", Incarnation: 1, Store: s, Mirror: p})
		refuse(l, 1)
		time.Sleep(time.Minute)
		require.Zero(t, adopter.Stats().Adopted)
		refuse(l, 2)
		require.NoError(t, l.Sync(t.Context()))
		kill()
		next, _ := startLog(t, Config{Process: "agent-1", Incarnation: 2, Store: s, Mirror: p})
		refuse(next, 3)
		require.NoError(t, next.Sync(t.Context()))
		require.Equal(t, 1, adopter.Stats().Held, "the record of the first incarnation")
		require.NoError(t, adopter.Drain(t.Context()))
		require.NoError(t, next.Drain(t.Context()))
		require.EqualValues(t, 3, find(t, s, Query{}).Refusals)
	})
}

// TestRelayDies stops a process that accepted records from one without a store, before it mirrored or wrote them.
func TestRelayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		s.SetFaults(store.Faults{Outage: true})
		silent := &logMirror{down: true}
		relay, kill := startLog(t, Config{Process: "balancer-1", Store: s, Mirror: silent})
		next, _ := startLog(t, Config{Process: "balancer-2", Store: s})
		p := &process{name: "agent-1", relay: true, to: &process{log: relay}, rng: rand.New(rand.NewPCG(1, 1))}
		p.log = NewLog(Config{Process: "agent-1", Mirror: p})
		runLog(t, p.log)
		for i := range 10 {
			refuse(p.log, i)
		}
		time.Sleep(5 * time.Second)
		kill()
		p.setPeer(&process{log: next})
		s.SetFaults(store.Faults{})
		time.Sleep(5 * time.Minute)
		require.EqualValues(t, 10, find(t, s, Query{}).Refusals)
		require.Empty(t, p.log.Held(), "handed over and retained long enough")
	})
}

// TestSharedIncarnation checks that two processes with the same identity, which is a mistake, overwrite nothing.
func TestSharedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		a, b := NewLog(Config{Process: "agent-1", Store: s}), NewLog(Config{Process: "agent-1", Store: s})
		a.Record(Record{ID: "a", Reason: ReasonAllFull})
		b.Record(Record{ID: "b", Reason: ReasonDeadline})
		require.NoError(t, a.Drain(t.Context()))
		require.NoError(t, b.Drain(t.Context()))
		require.EqualValues(t, 2, find(t, s, Query{}).Refusals)
	})
}

// TestStormInOutage fills memory during an outage of hours: the number of records must stay near the limit and the
// refusal count exact.
func TestStormInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1000
		s := store.New(store.Config{})
		s.SetFaults(store.Faults{Outage: true})
		l, _ := startLog(t, Config{Process: "agent-1", Store: s, MaxHeld: limit})
		n := 0
		for range 3 * 60 {
			for range 500 {
				refuse(l, n%60000)
				n++
			}
			time.Sleep(time.Minute)
		}
		st := l.Stats()
		require.Less(t, st.Held, limit+limit/4)
		require.EqualValues(t, n, st.HeldRefusals)
		require.NotZero(t, st.Merged)
		s.SetFaults(store.Faults{})
		time.Sleep(5 * time.Minute)
		require.EqualValues(t, n, find(t, s, Query{}).Refusals)
	})
}

// TestObjectsOfALongStorm bounds the number of objects written during an hour of steady refusals.
func TestObjectsOfALongStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		l, _ := startLog(t, Config{Process: "agent-1", Store: s})
		for i := range 14400 {
			refuse(l, i%1000)
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(2 * time.Minute)
		a := find(t, s, Query{})
		require.EqualValues(t, 14400, a.Refusals)
		require.Less(t, a.Batches, 80)
		t.Logf("objects=%d records=%d", a.Batches, len(a.Records))
	})
}

// meteredMirror is a Mirror that counts the encoded bytes.
type meteredMirror struct {
	to    *Log
	bytes int
}

func (m *meteredMirror) Mirror(_ context.Context, records []Record) error {
	b, err := EncodeRecords(records)
	m.bytes += len(b)
	m.to.Adopt("agent-1", records)
	return err
}

// TestMirrorBudget refuses callers of ever new networks at two rates: the bytes sent must stay within the budget, the
// queue bounded, and no refusal may be missing at the peer after a crash.
func TestMirrorBudget(t *testing.T) {
	for _, perSecond := range []int{5, 500} {
		t.Run(strconv.Itoa(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds, burst = 60, 20000
				s := store.New(store.Config{})
				m := &meteredMirror{to: NewLog(Config{Process: "agent-2", Store: s})}
				l, kill := startLog(t, Config{Process: "agent-1", Store: s, Mirror: m, MirrorBurst: burst})
				most := 0
				for i := range seconds {
					for j := range perSecond {
						refuse(l, i*perSecond+j)
					}
					time.Sleep(time.Second)
					l.mu.Lock()
					most = max(most, l.queue.len())
					l.mu.Unlock()
				}
				began := time.Now()
				require.NoError(t, l.Sync(t.Context()))
				lag := time.Since(began)
				kill()
				m.to.PeerDied("agent-1")
				require.NoError(t, m.to.Drain(t.Context()))
				require.EqualValues(t, seconds*perSecond, find(t, s, Query{}).Refusals)
				require.Less(t, m.bytes, burst+DefaultMirrorRate*(seconds+int(lag.Seconds())+1))
				require.Less(t, most, DefaultMaxQueue*3/2)
				t.Logf("bytes_s=%d most_waiting=%d lag=%s objects=%d", m.bytes/seconds, most, lag, s.Counts().Writes())
			})
		})
	}
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		l := NewLog(Config{Process: "agent-1", Store: s})
		for range 6 {
			refuse(l, 1)
			require.NoError(t, l.Drain(t.Context()))
			time.Sleep(time.Hour)
		}
		r := &Retention{Store: s, Keep: 3 * time.Hour, MaxDeletes: 2}
		s.SetFaults(store.Faults{LoseNext: 1})
		_, err := r.Run(t.Context(), time.Now())
		require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
		deleted, err := r.Run(t.Context(), time.Now())
		require.NoError(t, err)
		require.Equal(t, 2, deleted)
		require.EqualValues(t, 3, find(t, s, Query{}).Refusals)
		time.Sleep(time.Hour)
		deleted, err = r.Run(t.Context(), time.Now())
		require.NoError(t, err)
		require.Equal(t, 1, deleted)
	})
}
