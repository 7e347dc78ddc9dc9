package refusal

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
)

// writerMirror hands records to a Log that writes them.
type writerMirror struct {
	mu    sync.Mutex
	to    *Log
	calls int
}

func (m *writerMirror) Mirror(_ context.Context, records []Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.to == nil {
		return errors.New("no peer writes")
	}
	m.calls++
	m.to.Accept(records)
	return nil
}

func (m *writerMirror) set(to *Log) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.to = to
}

func (m *writerMirror) handsOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.to != nil
}

// stored returns the number of refusals in a store, each counted once.
func stored(t *testing.T, s *store.Store) int {
	found, err := NewReader(s).Find(t.Context(), Query{From: time.Now().Add(-time.Hour), To: time.Now().Add(time.Hour)})
	require.NoError(t, err)
	require.Empty(t, found.Unreadable)
	return int(found.Refusals)
}

// If each of several hundred balancers wrote its own batches, the writes would grow with their number.
func TestOneProcessWritesTheRecordsOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes = 30
		s := store.New(store.Config{})
		writer, _ := startLog(t, Config{Process: "writer", Incarnation: 1, Store: s})
		m := &writerMirror{to: writer}
		var logs []*Log
		for i := range processes {
			l, _ := startLog(t, Config{
				Process: string(rune('a' + i)), Incarnation: 1, Store: s, Mirror: m, HandsOver: m.handsOver, MirrorDelay: time.Second,
			})
			logs = append(logs, l)
		}
		for i := range 25 {
			for _, l := range logs {
				refuse(l, i)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Minute)
		require.Equal(t, 25*processes, stored(t, s))
		require.LessOrEqual(t, s.Counts().Writes(), uint64(10))
		require.LessOrEqual(t, m.calls, 26*processes)
	})
}

// A peer that ends without having written what it took loses nothing.
func TestHandedOverRecordsSurviveTheDeathOfTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		writer, kill := startLog(t, Config{Process: "writer", Incarnation: 1, Store: s, MinInterval: 30 * time.Second})
		m := &writerMirror{to: writer}
		l, _ := startLog(t, Config{Process: "a", Incarnation: 1, Store: s, Mirror: m, HandsOver: m.handsOver, Retain: 2 * time.Minute})
		for i := range 20 {
			refuse(l, i)
			time.Sleep(time.Second)
		}
		require.Zero(t, stored(t, s))
		kill()
		m.set(nil)
		time.Sleep(5 * time.Second)
		require.Equal(t, 20, stored(t, s), "this process writes them when nobody takes them")

		next, _ := startLog(t, Config{Process: "next", Incarnation: 1, Store: s})
		refuse(l, 20)
		m.set(next)
		l.MirrorChanged()
		time.Sleep(time.Minute)
		require.Equal(t, 21, stored(t, s), "records that two processes wrote count once")
	})
}

// A process that ends leaves its records to the writer, instead of an object of its own for each restart.
func TestDrainLeavesRecordsToTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		writer, _ := startLog(t, Config{Process: "writer", Incarnation: 1, Store: s})
		m := &writerMirror{to: writer}
		l, _ := startLog(t, Config{Process: "a", Incarnation: 1, Store: s, Mirror: m, HandsOver: m.handsOver, MirrorDelay: time.Second})
		refuse(l, 1)
		require.NoError(t, l.Drain(t.Context()))
		require.Zero(t, s.Counts().Writes())
		time.Sleep(time.Minute)
		require.Equal(t, 1, stored(t, s))

		refuse(l, 2)
		m.set(nil)
		require.NoError(t, l.Drain(t.Context()))
		require.Equal(t, 2, stored(t, s), "nobody else takes them")
	})
}
