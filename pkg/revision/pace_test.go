package revision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
)

func TestPaceFollowsTheFleetAndThePublications(t *testing.T) {
	s := store.New(store.Config{})
	c := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
	clock := &steppedClock{now: time.Unix(1000, 0)}
	c.cfg.Clock = clock
	c.cfg.Acks = fixedAcks{Adopted: 490, Known: 490}
	require.NoError(t, c.round(t.Context()))
	require.Equal(t, DefaultWindow, c.batchDelay(), "a round that published nothing adds no delay")
	putService(t, s, testService("a", "10.0.0.1", 0).Service)
	require.NoError(t, c.round(t.Context()))
	c.cfg.Acks = fixedAcks{Adopted: 8, Known: 8}
	require.Equal(t, DefaultInterval, c.batchDelay(), "few balancers: a revision costs each of them control traffic")
	c.cfg.Acks = fixedAcks{Adopted: 490, Known: 490}
	require.Equal(t, 980*time.Millisecond, c.batchDelay(), "490 balancers with 2 reads each at 1000 a second")
	clock.now = clock.now.Add(time.Second)
	require.Equal(t, DefaultWindow, c.batchDelay())
}
