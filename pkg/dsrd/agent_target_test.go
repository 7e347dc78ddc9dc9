package dsrd

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
)

// A report of a process that the agent had not heard of replaced the running one, whatever that said.
func TestAReportOfAnUnknownProcessIsCheckedBeforeItIsBelieved(t *testing.T) {
	report := func(id string) announcement.Announcement {
		return announcement.Announcement{ID: id, Service: "route-svc", Slots: 2, Sequence: 1}
	}
	for _, c := range []struct {
		name     string
		answers  string
		err      error
		accepted bool
	}{
		{"the running process answers", "i-1", nil, false},
		{"the new process answers", "i-2", nil, true},
		{"none answers", "", errors.New("status 503"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			answers, err := "i-1", error(nil)
			a := checkedAgent(t, func() (string, error) { return answers, err })
			require.NoError(t, a.Announce(report("i-1")))
			answers, err = c.answers, c.err
			require.Equal(t, c.accepted, a.Announce(report("i-2")) == nil)
		})
	}
}
