package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLooksFailedNeedsFastAndSmallAnswer(t *testing.T) {
	typical := Answer{Time: 16 * time.Millisecond, Bytes: 800}
	for _, c := range []struct {
		name    string
		answer  Answer
		typical Answer
		want    bool
	}{
		{"an error that took no work", Answer{Time: 2 * time.Millisecond, Bytes: 170}, typical, true},
		{"fast, of typical size", Answer{Time: 2 * time.Millisecond, Bytes: 800}, typical, false},
		{"compressed, in typical time", Answer{Time: 16 * time.Millisecond, Bytes: 90}, typical, false},
		{"a little of both", Answer{Time: 9 * time.Millisecond, Bytes: 500}, typical, false},
		{"much smaller and a little faster", Answer{Time: 15 * time.Millisecond, Bytes: 99}, typical, true},
		{"typical answer not known", Answer{}, Answer{}, false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.answer.LooksFailed(c.typical)) })
	}
}

func TestAnswerWindowMinimum(t *testing.T) {
	var l AnswerWindow
	for i := range AnswerWindowSize {
		_, known := l.Minimum()
		require.False(t, known)
		l.Add(Answer{Time: time.Duration(100-i) * time.Millisecond, Bytes: uint32(1000 + i)})
	}
	minimum, known := l.Minimum()
	require.True(t, known)
	require.Equal(t, Answer{Time: 85 * time.Millisecond, Bytes: 1000}, minimum)
	l.Add(Answer{Time: time.Second, Bytes: 5000})
	minimum, _ = l.Minimum()
	require.Equal(t, uint32(1001), minimum.Bytes, "the oldest answer is evicted")
}
