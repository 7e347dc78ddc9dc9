package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnAnswerThatLooksFailedIsFastAndSmall(t *testing.T) {
	usual := Answer{Time: 16 * time.Millisecond, Bytes: 800}
	for _, c := range []struct {
		name   string
		answer Answer
		usual  Answer
		want   bool
	}{
		{"an error without work", Answer{Time: 2 * time.Millisecond, Bytes: 170}, usual, true},
		{"fast, of the usual size", Answer{Time: 2 * time.Millisecond, Bytes: 800}, usual, false},
		{"compressed, in the usual time", Answer{Time: 16 * time.Millisecond, Bytes: 90}, usual, false},
		{"a little of both", Answer{Time: 9 * time.Millisecond, Bytes: 500}, usual, false},
		{"much smaller and a little faster", Answer{Time: 15 * time.Millisecond, Bytes: 99}, usual, true},
		{"nothing is known of others", Answer{}, Answer{}, false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.answer.LooksFailed(c.usual)) })
	}
}

func TestTheLeastOfTheLastAnswers(t *testing.T) {
	var l Least
	for i := range LeastOf {
		_, known := l.Value()
		require.False(t, known)
		l.Add(Answer{Time: time.Duration(100-i) * time.Millisecond, Bytes: uint32(1000 + i)})
	}
	least, known := l.Value()
	require.True(t, known)
	require.Equal(t, Answer{Time: 85 * time.Millisecond, Bytes: 1000}, least)
	l.Add(Answer{Time: time.Second, Bytes: 5000})
	least, _ = l.Value()
	require.Equal(t, uint32(1001), least.Bytes, "the oldest one is forgotten")
}
