package dsrd

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// fakeStore holds one object. Other writers increase its revision too.
type fakeStore struct {
	objectapi.Store
	mu       sync.Mutex
	object   objectapi.Object
	revision uint64
	err      error
	delay    time.Duration
	// silent makes watches return no events, expired makes them fail with ErrExpired.
	silent, expired bool
	reads, watches  int
}

func (s *fakeStore) write(version uint64, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.object = objectapi.Object{Kind: "config", Name: "main", Version: version, Value: []byte(value)}
	s.revision = max(s.revision, version)
}

// set changes the store while configSync runs.
func (s *fakeStore) set(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// calls returns the numbers of reads and watches, and resets them.
func (s *fakeStore) calls() (reads, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, watches = s.reads, s.watches
	s.reads, s.watches = 0, 0
	return reads, watches
}

func (s *fakeStore) answer(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return objectapi.NewCallError(objectapi.OpGet, "config", "main", "test", objectapi.ErrUnavailable, ctx.Err())
	case <-time.After(d):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *fakeStore) List(ctx context.Context, _ objectapi.Kind) ([]objectapi.Object, uint64, error) {
	s.mu.Lock()
	s.reads++
	o, revision, delay := s.object, s.revision, s.delay
	s.mu.Unlock()
	if err := s.answer(ctx, delay); err != nil {
		return nil, 0, err
	}
	if o.Version == 0 {
		return nil, revision, nil
	}
	return []objectapi.Object{{Name: "another", Version: 1}, o}, revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	s.mu.Lock()
	s.watches++
	delay := s.delay
	s.mu.Unlock()
	if err := s.answer(ctx, delay); err != nil {
		return nil, 0, err
	}
	for end := time.Now().Add(WatchWait); time.Now().Before(end); {
		events, next, err := s.look(from)
		if err != nil || len(events) > 0 {
			return events, next, err
		}
		if err := s.answer(ctx, 5*time.Millisecond); err != nil {
			return nil, 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.revision, s.err
}

// look returns what a watch sees now.
func (s *fakeStore) look(from uint64) ([]objectapi.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		return nil, 0, objectapi.ErrExpired
	}
	if s.object.Version > from && !s.silent {
		return []objectapi.Event{{Type: objectapi.EventPut, Object: s.object}}, s.object.Version, s.err
	}
	return nil, 0, nil
}

var (
	selfAddress  = netip.MustParseAddrPort("10.1.0.2:7720")
	firstAddress = netip.MustParseAddrPort("10.1.0.1:7720")
)

// configSyncFixture records the versions that configSync adopts.
type configSyncFixture struct {
	*configSync
	store          *fakeStore
	adopted        []uint64
	decoded        int
	ahead          int
	fleet          int
	maxPropagation time.Duration
}

func newConfigSyncFixture() *configSyncFixture {
	f := &configSyncFixture{store: &fakeStore{}}
	f.store.write(5, "")
	f.configSync = newConfigSync(Platform{
		Store: f.store, ConfigurationKind: "config", ConfigurationName: "main",
		Decode: func(o objectapi.Object) (configuration.Configuration, error) {
			f.decoded++
			if string(o.Value) == "broken" {
				return configuration.Configuration{}, errors.New("cannot be read")
			}
			return configuration.Configuration{Version: o.Version, Label: string(o.Value)}, nil
		},
	}, zerolog.Nop())
	f.adopt = func(c configuration.Configuration) { f.adopted = append(f.adopted, c.Version) }
	f.before = func() int { return f.ahead }
	f.configSync.living = func() int { return f.fleet }
	f.configSync.isAlone = func() bool { return f.fleet == 0 }
	f.propagation = func() time.Duration { return f.maxPropagation }
	f.onChecked = func() {}
	f.firstRead.decide(true)
	return f
}

func (f *configSyncFixture) runFor(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	require.ErrorIs(t, f.run(ctx), context.DeadlineExceeded)
}

// A watch returns a change within milliseconds.
func TestAChangeIsInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		go func() {
			time.Sleep(2 * time.Second)
			f.store.write(6, "")
		}()
		f.runFor(t, 2*time.Second+50*time.Millisecond)
		require.Equal(t, []uint64{5, 6}, f.adopted)
	})
}

// While nothing changes, no document is read; writes to other objects cause one read in 10 s.
func TestAQuietConfigurationIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.runFor(t, time.Second)
		f.store.calls()
		f.runFor(t, 30*time.Second)
		reads, watches := f.store.calls()
		require.LessOrEqual(t, reads, 1, "one after the watch that the end of the last run cancelled")
		require.LessOrEqual(t, watches, 51)
		require.Equal(t, 1, f.decoded)
		go func() {
			for range 30 {
				time.Sleep(time.Second)
				f.store.set(func(s *fakeStore) { s.revision++ })
			}
		}()
		f.runFor(t, 30*time.Second)
		reads, _ = f.store.calls()
		require.LessOrEqual(t, reads, 4)
		require.Equal(t, 1, f.decoded)
		_, age, _ := f.state(time.Now())
		require.LessOrEqual(t, age, WatchWait+syncInterval)
	})
}

// An expired history, or a watch that returns nothing for a second before it fails, delays a change by under 2.5 s.
func TestABrokenWatchDelaysAChangeByLittle(t *testing.T) {
	for _, prepare := range []func(*fakeStore){
		func(s *fakeStore) { s.expired = true },
		func(s *fakeStore) {
			s.silent = true
			time.AfterFunc(time.Second, func() { s.set(func(s *fakeStore) { s.expired = true }) })
		},
		func(s *fakeStore) {
			s.silent = true
			time.AfterFunc(time.Second, func() { s.set(func(s *fakeStore) { s.err = objectapi.ErrUnavailable }) })
			time.AfterFunc(1300*time.Millisecond, func() { s.set(func(s *fakeStore) { s.err = nil }) })
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigSyncFixture()
			f.runFor(t, time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
			defer cancel()
			time.AfterFunc(time.Second, func() {
				f.store.set(prepare)
				f.store.write(6, "")
			})
			require.Error(t, f.run(ctx))
			require.Equal(t, []uint64{5, 6}, f.adopted)
		})
	}
}

// A single change is read once: by the watch that returns it.
func TestASingleChangeIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		time.AfterFunc(2*time.Second, func() { f.store.write(6, "") })
		f.runFor(t, 4*time.Second)
		require.Equal(t, []uint64{5, 6}, f.adopted)
		require.Equal(t, 2, f.decoded)
		reads, _ := f.store.calls()
		require.Equal(t, 2, reads, "one at the start, one after the first configuration")
	})
}

// Of changes in quick succession only some are read, and the last is in force soon after it.
func TestAStormOfChangesIsReadAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		go func() {
			for v := range 60 {
				time.Sleep(150 * time.Millisecond)
				f.store.write(uint64(6+v), "")
			}
		}()
		f.runFor(t, 9*time.Second+600*time.Millisecond)
		require.Equal(t, uint64(65), f.adopted[len(f.adopted)-1])
		require.LessOrEqual(t, f.decoded, 26)
		require.IsIncreasing(t, f.adopted)
	})
}

func TestAnOldAnswerDoesNotRevertTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.runFor(t, time.Second)
		f.store.write(4, "")
		f.store.expired = true
		f.runFor(t, 2*time.Second)
		require.Equal(t, []uint64{5}, f.adopted)
		version, age, checked := f.state(time.Now())
		require.Equal(t, uint64(5), version)
		require.True(t, checked)
		require.Greater(t, age, 1500*time.Millisecond, "an old answer does not confirm the version in force")
	})
}

func TestOneBalancerChecksForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.ahead = 1
		f.runFor(t, 50*time.Millisecond)
		f.store.calls()
		for range 20 {
			f.confirm(5, time.Now())
			f.runFor(t, 900*time.Millisecond)
		}
		reads, watches := f.store.calls()
		require.Zero(t, reads+watches, "another balancer has checked within 0.9 s each time")
		f.runFor(t, 1200*time.Millisecond)
		reads, watches = f.store.calls()
		require.Positive(t, reads+watches, "it takes over when the other is silent")
	})
}

// The others notice late that the first balancer is gone; meanwhile one of them watches without a gap.
func TestABalancerThatTookOverWatchesUntilTheFirstOneChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.ahead = 1
		f.runFor(t, 50*time.Millisecond)
		f.runFor(t, 2*time.Second)
		f.store.calls()
		f.runFor(t, 6*time.Second)
		_, watches := f.store.calls()
		require.GreaterOrEqual(t, watches, 8, "one each 0.6 to 0.7 s")
		f.yield(time.Now())
		f.confirm(5, time.Now())
		f.runFor(t, 900*time.Millisecond)
		reads, watches := f.store.calls()
		require.Zero(t, reads+watches, "the first one checks again")
	})
}

// The report of the first one nearly always arrives during a watch, whose end must not start the next one.
func TestAWatchThatIsUnderWayDoesNotOutliveAYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.ahead = 1
		go func() {
			time.Sleep(5 * time.Second)
			f.store.calls()
			time.Sleep(WatchWait)
			_, watches := f.store.calls()
			require.Positive(t, watches, "it took over")
			f.yield(time.Now())
			for range 16 {
				f.confirm(5, time.Now())
				time.Sleep(WatchWait)
			}
		}()
		f.runFor(t, 16*time.Second)
		_, watches := f.store.calls()
		require.LessOrEqual(t, watches, 1)
	})
}

// A balancer that is notified of a newer version does not read the object API while a peer may serve that version.
func TestANewerVersionIsFetchedBeforeItIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.ahead = 3
		f.runFor(t, 50*time.Millisecond)
		f.store.calls()
		f.recordNewer(6, netip.AddrPort{})
		f.store.write(6, "")
		f.runFor(t, fetchTimeout-50*time.Millisecond)
		reads, _ := f.store.calls()
		require.Zero(t, reads)
		f.runFor(t, 250*time.Millisecond)
		require.Equal(t, []uint64{5, 6}, f.adopted)
	})
}

// If all balancers that start together read the object API at once, the calls would grow with their number.
func TestBalancersLeaveTheFirstReadToOthers(t *testing.T) {
	for _, c := range []struct {
		reason     string
		readsFirst bool
		ahead      int
		length     time.Duration
		reads      int
	}{
		{"one of the settings reads at once", true, 300, 50 * time.Millisecond, 1},
		{"another one waits for those", false, 0, startWait - syncInterval, 0},
		{"but not for long when it knows no other", false, 0, startWait + syncInterval, 1},
		{"and as long as a check may take when it does", false, 300, checkInterval + maxStagger - syncInterval, 0},
		{"that is bounded whatever the number of others", false, 300, checkInterval + maxStagger + syncInterval, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigSyncFixture()
			f.firstRead = newFirstRead()
			f.firstRead.decide(c.readsFirst)
			f.ahead = c.ahead
			require.Equal(t, !c.readsFirst, f.mayStillBeTold(time.Now()))
			f.runFor(t, c.length)
			reads, _ := f.store.calls()
			require.Equal(t, c.reads, reads, c.reason)
		})
	}
}

// Balancers that start together know few others at first. If each took itself for the first one, all would read and watch the
// object API.
func TestABalancerThatHasJustStartedDoesNotTakeItselfForTheFirst(t *testing.T) {
	for _, version := range []uint64{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigSyncFixture()
			f.store.write(version, "")
			f.firstRead = newFirstRead()
			f.firstRead.decide(false)
			f.fleet = 303
			if version > 0 {
				f.adoptIfNewer(configuration.Configuration{Version: version}, nil, time.Now())
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- f.run(ctx) }()
			for time.Since(f.started) < settleTime-WatchWait {
				f.confirm(version, time.Now())
				time.Sleep(WatchWait)
			}
			reads, watches := f.store.calls()
			require.Zero(t, reads+watches, "others check")
			time.Sleep(2 * time.Second)
			reads, watches = f.store.calls()
			require.Positive(t, reads+watches, "it knows that it comes first")
			stop()
			require.ErrorIs(t, <-done, context.Canceled)
		})
	}
}

// Until the operator has written a configuration, one of the balancers in the settings watches for it, also when it knows
// that others will check before it.
func TestABalancerOfTheSettingsWatchesForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.store.write(0, "")
		f.ahead, f.fleet = 1, 303
		f.runFor(t, 3*time.Second)
		_, watches := f.store.calls()
		require.GreaterOrEqual(t, watches, 4, "one each 0.6 to 0.7 s")
		f.yield(time.Now())
		f.confirm(0, time.Now())
		f.runFor(t, time.Second)
		reads, watches := f.store.calls()
		require.Zero(t, reads+watches, "another one watches")
	})
}

// A configuration that does not exist yet is watched for by one balancer, and known not to exist by the others.
func TestAMissingConfigurationIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, other := newConfigSyncFixture(), newConfigSyncFixture()
		first.store.write(0, "")
		other.store.write(0, "")
		other.firstRead = newFirstRead()
		other.firstRead.decide(false)
		other.ahead = 1
		first.onChecked = func() { other.confirm(0, time.Now()) }
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 2)
		go func() { done <- first.run(ctx) }()
		go func() { done <- other.run(ctx) }()
		time.Sleep(10 * time.Second)
		reads, watches := first.store.calls()
		require.Equal(t, 1, reads)
		require.LessOrEqual(t, watches, 17)
		reads, watches = other.store.calls()
		require.Zero(t, reads+watches)
		first.store.write(6, "")
		time.Sleep(50 * time.Millisecond)
		stop()
		<-done
		<-done
		require.Equal(t, []uint64{6}, first.adopted)
	})
}

func TestAReportOfAnotherVersionConfirmsNothing(t *testing.T) {
	f := newConfigSyncFixture()
	f.confirm(6, time.Now())
	_, _, checked := f.state(time.Now())
	require.False(t, checked)
}

func TestAConfigurationThatCannotBeReadLeavesTheLastInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.runFor(t, 50*time.Millisecond)
		f.store.write(6, "broken")
		f.store.calls()
		f.runFor(t, 3*time.Second)
		reads, _ := f.store.calls()
		require.LessOrEqual(t, reads, 6, "it is not read often")
		version, _, _ := f.state(time.Now())
		require.Equal(t, uint64(5), version)
		f.store.write(7, "")
		f.runFor(t, 2*time.Second)
		require.Equal(t, []uint64{5, 7}, f.adopted)
	})
}

// In an outage of 4 s a balancer makes few calls, and is up to date within a second of its end.
func TestAnOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigSyncFixture()
		f.runFor(t, time.Second)
		f.store.err = objectapi.ErrUnavailable
		f.store.calls()
		f.runFor(t, 4*time.Second)
		reads, watches := f.store.calls()
		require.LessOrEqual(t, reads+watches, 8)
		f.store.err = nil
		f.store.write(6, "")
		f.runFor(t, time.Second)
		require.Equal(t, []uint64{5, 6}, f.adopted)
	})
}

// While nobody reaches the object API, all balancers check. Their calls must not grow with their number.
func TestBalancersTogetherRetryAtABoundedRate(t *testing.T) {
	for _, fleet := range []int{304, 490, 3800} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigSyncFixture()
			f.ahead, f.fleet = 100, fleet
			f.runFor(t, 50*time.Millisecond)
			f.store.err = objectapi.ErrUnavailable
			f.runFor(t, 3*time.Second)
			f.store.calls()
			const length = 10 * time.Minute
			f.runFor(t, length)
			reads, watches := f.store.calls()
			require.LessOrEqual(t, float64(reads+watches)*float64(fleet)/length.Seconds(), 1.2*retryRate, "%d balancers", fleet)
			require.Positive(t, reads+watches)
		})
	}
}

// A balancer that starts while the object API does not answer gets a peer's configuration at once.
func TestAPeersConfigurationDoesNotWaitForTheObjectAPI(t *testing.T) {
	peer := newConfigSyncFixture()
	peer.adoptIfNewer(configuration.Configuration{Version: 9}, nil, time.Now())
	server := httptest.NewServer(peer.configSync)
	defer server.Close()
	f := newConfigSyncFixture()
	f.store.err, f.store.delay = objectapi.ErrUnavailable, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.run(ctx) }()
	f.recordNewer(9, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	require.Eventually(t, func() bool {
		version, _, _ := f.state(time.Now())
		return version == 9
	}, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

// After a start of all, the balancers that have the configuration are asked by all others at once.
func TestABusyPeerIsAskedAgain(t *testing.T) {
	peer := newConfigSyncFixture()
	peer.adoptIfNewer(configuration.Configuration{Version: 9}, nil, time.Now())
	server := httptest.NewServer(peer.configSync)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for range maxServed {
		peer.serving <- struct{}{}
	}
	f := newConfigSyncFixture()
	require.ErrorIs(t, f.fetch(t.Context(), address), errPeerBusy)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.fetchLoop(ctx) }()
	f.recordNewer(9, address)
	<-peer.serving
	require.Eventually(t, func() bool {
		version, _, _ := f.state(time.Now())
		return version == 9
	}, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

func TestABalancerWithoutAConfigurationServesNone(t *testing.T) {
	server := httptest.NewServer(newConfigSyncFixture().configSync)
	defer server.Close()
	f := newConfigSyncFixture()
	require.ErrorContains(t, f.fetch(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))), "status 503")
	require.Empty(t, f.adopted)
}

func TestTheBalancerThatCanReadMostChecks(t *testing.T) {
	large, small, narrow := readsPerSecond(0.8, 200), readsPerSecond(0.061, 200), readsPerSecond(0.8, 10)
	require.Greater(t, large, small)
	require.Greater(t, large, narrow)
	require.Positive(t, readsPerSecond(0.001, 0.1))
	require.True(t, checksBefore(large, selfAddress, small, firstAddress))
	require.True(t, checksBefore(small, firstAddress, small, selfAddress), "of equals the lower address")
	require.False(t, checksBefore(small, selfAddress, small, firstAddress))
	require.False(t, checksBefore(0, firstAddress, small, selfAddress), "one that has not reported its capacity")
}

// numberedFixture has an object API that has reported its first era.
func numberedFixture(label string) *configSyncFixture {
	f := newConfigSyncFixture()
	f.platform.Decode = func(o objectapi.Object) (configuration.Configuration, error) {
		f.decoded++
		label := string(o.Value)
		return configuration.Configuration{Version: configuration.VersionOf(label, o.Version, objectapi.EraOf(o.Version) > 0), Label: label}, nil
	}
	f.store.write(store.Version(1, 21), label)
	return f
}

// shown are the adopted versions as displayed.
func (f *configSyncFixture) shown() []uint64 {
	var out []uint64
	for _, v := range f.adopted {
		out = append(out, configuration.DisplayVersion(v))
	}
	return out
}

func TestAConfigurationInForceDoesNotGoBackWithTheObjectAPI(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is the version under which configuration 18 is stored.
		first uint64
		want  []uint64
	}{
		{"eras were reported before", store.Version(1, 21), []uint64{18, 20}},
		{"eras are reported from then on", 21, []uint64{21, 18, 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := numberedFixture("18")
				f.store.write(c.first, "18")
				f.runFor(t, 2*time.Second)
				f.store.set(func(s *fakeStore) { s.revision = store.Version(2, 9) })
				f.store.write(store.Version(2, 9), "15")
				f.runFor(t, 5*time.Second)
				require.Equal(t, c.want[:len(c.want)-1], f.shown())
				f.store.calls()
				f.runFor(t, 10*time.Second)
				reads, _ := f.store.calls()
				require.LessOrEqual(t, reads, 2, "an earlier configuration is not read over and over")
				_, age, _ := f.state(time.Now())
				require.LessOrEqual(t, age, WatchWait+2*syncInterval, "the one in force counts as the newest")
				f.store.write(store.Version(2, 10), "18")
				f.runFor(t, 2*time.Second)
				f.store.write(store.Version(2, 11), "20")
				f.runFor(t, 2*time.Second)
				require.Equal(t, c.want, f.shown())
			})
		})
	}
}

// A balancer of a release without eras reports versions of objects.
func TestAnUpgradeFollowsTheBalancersThatKnowEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := numberedFixture("18")
		f.runFor(t, 2*time.Second)
		f.recordNewer(900, firstAddress)
		_, behind := f.behind()
		require.False(t, behind, "its versions are below all numbers")
		old := newConfigSyncFixture()
		old.adoptIfNewer(configuration.Configuration{Version: 900, Label: "16"}, nil, time.Now())
		old.adoptIfNewer(f.inForce, nil, time.Now())
		require.Equal(t, f.inForce.Version, old.inForce.Version, "and it adopts the configuration of the others")
	})
}

func TestAPeerThatReadTheRestoredObjectAPIFirstRevertsNothing(t *testing.T) {
	f := newConfigSyncFixture()
	f.adoptIfNewer(configuration.Configuration{Version: 21, Label: "18"}, nil, time.Now())
	peer := newConfigSyncFixture()
	peer.adoptIfNewer(configuration.Configuration{Version: configuration.VersionOf("15", 9, true), Label: "15"}, nil, time.Now())
	server := httptest.NewServer(peer.configSync)
	defer server.Close()
	require.NoError(t, f.fetch(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))))
	require.Equal(t, "18", f.inForce.Label)
	require.Greater(t, f.inForce.Version, peer.inForce.Version, "so that the peer adopts it in turn")
}
