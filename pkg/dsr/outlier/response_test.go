package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLooksFailedNeedsFastAndSmallResponse(t *testing.T) {
	typical := Response{Time: 16 * time.Millisecond, Bytes: 800}
	for _, c := range []struct {
		name    string
		answer  Response
		typical Response
		want    bool
	}{
		{"an error that took no work", Response{Time: 2 * time.Millisecond, Bytes: 170}, typical, true},
		{"fast, of typical size", Response{Time: 2 * time.Millisecond, Bytes: 800}, typical, false},
		{"compressed, in typical time", Response{Time: 16 * time.Millisecond, Bytes: 90}, typical, false},
		{"a little of both", Response{Time: 9 * time.Millisecond, Bytes: 500}, typical, false},
		{"much smaller and a little faster", Response{Time: 15 * time.Millisecond, Bytes: 99}, typical, true},
		{"typical response not known", Response{}, Response{}, false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.answer.LooksFailed(c.typical)) })
	}
}

func TestResponseWindowMinimum(t *testing.T) {
	var l ResponseWindow
	for i := range ResponseWindowSize {
		_, known := l.Minimum()
		require.False(t, known)
		l.Add(Response{Time: time.Duration(100-i) * time.Millisecond, Bytes: uint32(1000 + i)})
	}
	minimum, known := l.Minimum()
	require.True(t, known)
	require.Equal(t, Response{Time: 85 * time.Millisecond, Bytes: 1000}, minimum)
	l.Add(Response{Time: time.Second, Bytes: 5000})
	minimum, _ = l.Minimum()
	require.Equal(t, uint32(1001), minimum.Bytes, "the oldest response is evicted")
}
