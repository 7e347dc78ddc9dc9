package revision

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// fakePeers answers with fixed revisions.
type fakePeers struct {
	list []resource.Revision
	err  error
}

func (p *fakePeers) Highest(context.Context, uint64) ([]resource.Revision, error) {
	return p.list, p.err
}

func TestAdopterTakesOnlyHigherRevisions(t *testing.T) {
	a := NewAdopter(zerolog.Nop())
	var seen []uint64
	a.OnAdopt(func(r resource.Revision) { seen = append(seen, r.Number) })
	for _, n := range []uint64{0, 3, 2, 3, 5, 4, 0} {
		a.Offer(resource.Revision{Number: n}, SourcePeer)
	}
	require.Equal(t, []uint64{0, 3, 5}, seen)
}

func TestStartWithoutTheStore(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers fakePeers
		min   int
		want  uint64
		why   string
	}{
		{"highest of several", fakePeers{list: []resource.Revision{{Number: 4}, {Number: 9}, {Number: 7}}}, 0, 9, ""},
		{"no peer answers", fakePeers{err: errors.New("connection refused")}, 0, 0, "connection refused"},
		{"peers know none", fakePeers{list: []resource.Revision{{}}}, 0, 0, "no peer has a revision"},
		{"too few answer", fakePeers{list: []resource.Revision{{Number: 4}}}, 2, 0, "1 of 2 required peers"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Config{})
				s.SetFaults(store.Faults{Outage: true})
				a := NewAdopter(zerolog.Nop())
				f := &Follower{Store: s, Peers: &c.peers, Adopter: a, MinPeers: c.min, Log: zerolog.Nop()}
				ctx, stop := context.WithCancel(t.Context())
				go func() { _ = f.Run(ctx) }()
				time.Sleep(3 * time.Second)
				require.Equal(t, c.want, a.Number())
				if c.why == "" {
					require.NoError(t, a.Ready())
				} else {
					require.ErrorContains(t, a.Ready(), c.why)
					require.ErrorContains(t, a.Ready(), "outage")
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

func TestEmptyStoreIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdopter(zerolog.Nop())
		f := &Follower{Store: store.New(store.Config{}), Adopter: a, Log: zerolog.Nop()}
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, a.Ready())
		stop()
		synctest.Wait()
	})
}

// During a store outage an accepted revision must reach balancers through peers, and later changes must follow it.
func TestAcceptedRevisionSpreadsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		c := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
		c.cfg.Adopter = NewAdopter(zerolog.Nop())
		putService(t, s, testService("a", "10.0.0.1", 0).Service)
		require.NoError(t, c.round(t.Context()))
		s.SetFaults(store.Faults{Outage: true})
		r, _ := c.cfg.Adopter.Current()
		a := NewAdopter(zerolog.Nop())
		f := &Follower{Store: s, Peers: &fakePeers{list: []resource.Revision{r}}, Adopter: a, Log: zerolog.Nop()}
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		require.EqualValues(t, 1, a.Number())
		s.SetFaults(store.Faults{})
		putService(t, s, testService("a", "10.0.0.2", 0).Service)
		require.NoError(t, c.round(t.Context()))
		time.Sleep(time.Second)
		require.EqualValues(t, 2, a.Number())
		stop()
		synctest.Wait()
	})
}
