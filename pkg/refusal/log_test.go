package refusal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRecordFillsEmptyFields(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLog(Config{Process: "agent-1", Incarnation: 3, Now: func() time.Time { return now }})
	a, b := l.Record(Record{Reason: ReasonAllFull}), l.Record(Record{Reason: ReasonAllFull})
	require.NotEqual(t, a, b)
	got := l.Held()
	require.Len(t, got, 2)
	require.Equal(t, Record{ID: a, Time: now, Count: 1, DecidedBy: "agent-1", Reason: ReasonAllFull}, got[0])
}
