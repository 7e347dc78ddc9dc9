package ownership

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// setMedianAnswers sets the minimum answers of the service's other targets: 16 ms and 500 bytes.
func (f *fixture) setMedianAnswers() {
	f.table.Usual([]*dsrpb.Answer{{Address: flow.AddrHash(service), LeastUs: 16_000, LeastBytes: 500}})
}

// answerAfter makes the target answer a request after a time, and the caller close the flow.
func (f *fixture) answerAfter(port int, work time.Duration, size int) {
	f.announce(announcement.Ready)
	f.request(port)
	f.pass(work)
	f.target(port, segment.ACK, uint32(port)*1000+1, strings.Repeat("x", size))
	f.forward(closing(port), &dsrpb.Message{Owner: true})
}

// A target that answers every request at once with an error looks free and attracts the load of others.
func TestATargetThatAnswersWithErrorsIsEjected(t *testing.T) {
	f := newFixture(t, Config{})
	f.setMedianAnswers()
	for port := 1; port <= 100; port++ {
		f.answerAfter(port, 40*time.Millisecond, 1000)
	}
	require.False(t, f.announcedFailing())
	for port := 200; port < 200+outlier.Failures; port++ {
		f.answerAfter(port, 2*time.Millisecond, 171)
	}
	require.True(t, f.announcedFailing())
	last := f.out.healthChanges[len(f.out.healthChanges)-1]
	require.True(t, last.LooksFailed)
	require.Equal(t, uint32(171), last.Answer.Bytes)
	require.Equal(t, uint32(500), last.Median.Bytes)
}

func TestHealthyAnswersNeverEjectATarget(t *testing.T) {
	for _, c := range []struct {
		name string
		work time.Duration
		size int
		// failed makes one request of that many fail, 0 none.
		failed int
	}{
		{"much faster", time.Millisecond, 1000, 0},
		{"compressed", 40 * time.Millisecond, 60, 0},
		{"one in five is a short not-modified answer", 40 * time.Millisecond, 1000, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			f.setMedianAnswers()
			for port := 1; port <= 300; port++ {
				if c.failed > 0 && port%c.failed == 0 {
					f.answerAfter(port, time.Millisecond, 90)
					continue
				}
				f.answerAfter(port, c.work, c.size)
			}
			require.Empty(t, f.out.healthChanges)
		})
	}
}

func TestAnnouncementsReportTheMinimumAnswers(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= outlier.AnswerWindowSize; port++ {
		require.Empty(t, f.table.Announcement(f.now, true, 0).Announcement.Answers)
		f.answerAfter(port, time.Duration(20+port)*time.Millisecond, 400+port)
	}
	answers := f.table.Announcement(f.now, true, 0).Announcement.Answers
	require.Len(t, answers, 1)
	require.Equal(t, flow.AddrHash(service), answers[0].Address)
	require.Equal(t, uint32(21_000), answers[0].LeastUs)
	require.Equal(t, uint32(401), answers[0].LeastBytes)
}

// Packets of an answer may overtake each other, and the target's FIN may overtake them all.
func TestTheSizeOfAnAnswerIsThatOfAllItsPackets(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= outlier.AnswerWindowSize; port++ {
		f.request(port)
		f.pass(20 * time.Millisecond)
		f.target(port, segment.ACK|segment.FIN, uint32(port)*1000+1+600, strings.Repeat("x", 50))
		f.target(port, segment.ACK, uint32(port)*1000+1, strings.Repeat("x", 600))
		f.forward(closing(port), &dsrpb.Message{Owner: true})
	}
	answers := f.table.Announcement(f.now, true, 0).Announcement.Answers
	require.Equal(t, uint32(650), answers[0].LeastBytes)
}
