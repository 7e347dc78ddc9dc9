package dsrd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// When all balancers restart together, all ask the same few for all agents.
func TestListsOfAgentsTakeABoundedPartOfTheLink(t *testing.T) {
	for _, c := range []struct{ balancers, agents int }{{304, 678}, {490, 3300}, {1000, 2000}} {
		const linkMbps = 20
		r := newRosterBudget(linkMbps)
		now := time.Unix(1000, 0)
		size, waiting := c.agents*wire.AddrSize, c.balancers
		for second := range 3 {
			sent := 0
			for range 20 {
				now = now.Add(50 * time.Millisecond)
				for range waiting {
					if r.take(now, c.agents) {
						sent += size
						waiting--
					}
				}
			}
			require.LessOrEqual(t, float64(sent), linkMbps*1e6/8/8, "an eighth of the link, second %d, %d agents", second, c.agents)
			require.Positive(t, sent)
		}
	}
}

// A list that is larger than the budget of a second must not be withheld for ever.
func TestAListOfAgentsIsSentOnASlowLink(t *testing.T) {
	r := newRosterBudget(0.1)
	now := time.Unix(1000, 0)
	require.True(t, r.take(now, 3300))
	require.False(t, r.take(now, 3300))
	require.True(t, r.take(now.Add(time.Second), 3300))
}
