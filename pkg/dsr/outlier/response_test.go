package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnAnswerThatLooksFailedIsFastAndSmall(t *testing.T) {
	usual := Response{Time: 16 * time.Millisecond, Bytes: 800}
	for _, c := range []struct {
		name   string
		answer Response
		usual  Response
		want   bool
	}{
		{"an error without work", Response{Time: 2 * time.Millisecond, Bytes: 170}, usual, true},
		{"fast, of the usual size", Response{Time: 2 * time.Millisecond, Bytes: 800}, usual, false},
		{"compressed, in the usual time", Response{Time: 16 * time.Millisecond, Bytes: 90}, usual, false},
		{"a little of both", Response{Time: 9 * time.Millisecond, Bytes: 500}, usual, false},
		{"much smaller and a little faster", Response{Time: 15 * time.Millisecond, Bytes: 99}, usual, true},
		{"nothing is known of others", Response{}, Response{}, false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.answer.LooksFailed(c.usual)) })
	}
}

func TestTheLeastOfTheLastAnswers(t *testing.T) {
	var l ResponseWindow
	for i := range ResponseWindowSize {
		_, known := l.Minimum()
		require.False(t, known)
		l.Add(Response{Time: time.Duration(100-i) * time.Millisecond, Bytes: uint32(1000 + i)})
	}
	least, known := l.Minimum()
	require.True(t, known)
	require.Equal(t, Response{Time: 85 * time.Millisecond, Bytes: 1000}, least)
	l.Add(Response{Time: time.Second, Bytes: 5000})
	least, _ = l.Minimum()
	require.Equal(t, uint32(1001), least.Bytes, "the oldest one is forgotten")
}
