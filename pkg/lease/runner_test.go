package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

func newRunner(s *store.Store, holder string) *lease.Runner {
	return &lease.Runner{
		Store:  s,
		Config: lease.Config{Name: "compile", Holder: holder, Duration: 6 * time.Second},
		Log:    zerolog.Nop(),
	}
}

// startRunner runs a duty that sends its grants on the returned channel.
func startRunner(ctx context.Context, s *store.Store, holder string) <-chan lease.Grant {
	grants := make(chan lease.Grant, 16)
	go func() {
		_ = newRunner(s, holder).Run(ctx, func(ctx context.Context, g lease.Grant) error {
			grants <- g
			<-ctx.Done()
			return nil
		})
	}()
	return grants
}

func TestHolderRenewsAndReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		ctxA, stopA := context.WithCancel(t.Context())
		a := startRunner(ctxA, s, "a")
		require.Equal(t, lease.Grant{Holder: "a", Term: 1}, <-a)
		ctxB, stopB := context.WithCancel(t.Context())
		b := startRunner(ctxB, s, "b")
		time.Sleep(time.Minute)
		require.Empty(t, b, "a renews, so b must not take over")
		stopA()
		begin := time.Now()
		require.Equal(t, lease.Grant{Holder: "b", Term: 2}, <-b)
		require.LessOrEqual(t, time.Since(begin), 3*time.Second, "a released lease is acquired at the next poll")
		stopB()
		synctest.Wait()
	})
}

func TestLostAnswersDoNotLoseTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{Seed: 7})
		s.SetFaults(store.Faults{LoseShare: 0.3, DropShare: 0.3})
		ctx, stop := context.WithCancel(t.Context())
		a := startRunner(ctx, s, "a")
		time.Sleep(2 * time.Minute)
		require.Len(t, a, 1, "one term only")
		stop()
		// The release takes several calls while responses are lost.
		time.Sleep(time.Minute)
	})
}

func TestOutageEndsTheDutyBeforeOthersMayTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan time.Time, 4)
		go func() {
			_ = newRunner(s, "a").Run(ctx, func(ctx context.Context, _ lease.Grant) error {
				<-ctx.Done()
				ended <- time.Now()
				return nil
			})
		}()
		time.Sleep(10 * time.Second)
		s.SetFaults(store.Faults{Outage: true})
		begin := time.Now()
		end := <-ended
		require.Less(t, end.Sub(begin), 6*time.Second)
		s.SetFaults(store.Faults{})
		stop()
		synctest.Wait()
	})
}

// lateRenewalStore returns from the third update only after the validity has ended.
type lateRenewalStore struct {
	*store.Store
	writes int
}

func (s *lateRenewalStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	s.writes++
	done, err := s.Store.Update(ctx, o)
	if s.writes == 3 {
		time.Sleep(5 * time.Second)
	}
	return done, err
}

// A duty that was cancelled at the end of the validity must start again when the renewal turns out to have succeeded.
func TestDutyRestartsAfterLateRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateRenewalStore{Store: store.New(store.Config{})}
		r := newRunner(s.Store, "a")
		r.Store = s
		ctx, stop := context.WithCancel(t.Context())
		running, begun := 0, 0
		go func() {
			_ = r.Run(ctx, func(ctx context.Context, _ lease.Grant) error {
				running++
				begun++
				assert.Equal(t, 1, running, "one duty at a time")
				<-ctx.Done()
				time.Sleep(time.Second)
				running--
				return nil
			})
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 1, running)
		require.Equal(t, 2, begun)
		stop()
		time.Sleep(time.Minute)
	})
}
