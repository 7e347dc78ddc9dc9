package dsrd

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// An entry of another writer that identifies no balancer does not invalidate the others.
func TestMembersWithoutAnAddressAreSkipped(t *testing.T) {
	var objects []objectapi.Object
	for _, v := range []string{
		`{"messages":"10.1.0.1:7720"}`, ``, `null`, `{}`, `7`, `"x"`, `{"messages":7}`, `{"messages":""}`, `{"messages":"x"}`,
		`{"messages":"10.1.0.1"}`, `{"messages":"10.1.0.1:0"}`, `{"messages":"0.0.0.0:7720"}`, `{"messages":"224.0.0.1:7720"}`,
		`{"messages":"10.1.0.2:7720"}`,
	} {
		objects = append(objects, objectapi.Object{Kind: MemberKind, Name: v, Version: 1, Value: []byte(v)})
	}
	require.Equal(t, []netip.AddrPort{firstAddress, selfAddress}, addressesOf(objects, zerolog.Nop()))
}

// callStore counts the calls of a store, and hides that it can be sampled.
type callStore struct {
	objectapi.Store
	calls atomic.Int32
}

func (s *callStore) Create(ctx context.Context, k objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	s.calls.Add(1)
	return s.Store.Create(ctx, k, name, value)
}

func (s *callStore) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	s.calls.Add(1)
	return s.Store.Get(ctx, k, name)
}

func (s *callStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	s.calls.Add(1)
	return s.Store.Update(ctx, o)
}

// If each balancer listed all to find its own object, the calls of a start would grow with the square of their number.
func TestRegistrationCallsDoNotDependOnOtherMembers(t *testing.T) {
	s := &callStore{Store: store.New(store.Config{})}
	for _, a := range unreachable(300) {
		_, err := registerMember(t.Context(), s, zerolog.Nop(), a.String(), a)
		require.NoError(t, err)
	}
	require.EqualValues(t, 300, s.calls.Swap(0))
	for _, c := range []struct {
		reason  string
		address netip.AddrPort
		calls   int32
	}{
		{"new", selfAddress, 1},
		{"restarted at its address", selfAddress, 2},
		{"restarted elsewhere", firstAddress, 3},
	} {
		_, err := registerMember(t.Context(), s, zerolog.Nop(), "balancer-1", c.address)
		require.NoError(t, err)
		require.Equal(t, c.calls, s.calls.Swap(0), c.reason)
		o, err := s.Get(t.Context(), MemberKind, "balancer-1")
		require.NoError(t, err)
		m, err := decodeMember(o)
		require.NoError(t, err)
		require.Equal(t, c.address, m.Messages, c.reason)
		s.calls.Store(0)
	}
}

// lateMembers has no member at the first read and one at later ones.
type lateMembers struct {
	objectapi.Store
	reads  atomic.Int32
	member []byte
}

func (s *lateMembers) List(context.Context, objectapi.Kind) ([]objectapi.Object, uint64, error) {
	if s.reads.Add(1) == 1 {
		return nil, 1, nil
	}
	return []objectapi.Object{{Kind: MemberKind, Name: "balancer-1", Version: 2, Value: s.member}}, 2, nil
}

func TestAnAgentWithoutABalancerReadsTheMembersAgain(t *testing.T) {
	balancer := newListener(t)
	a := &Agent{node: testNode(t)}
	a.table = ownership.NewTable(ownership.Config{}, dsrtest.Codec{}, nil, a.started)
	member, err := json.Marshal(member{Messages: balancer.address()})
	require.NoError(t, err)
	a.platform.Store = &lateMembers{member: member}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.newDiscovery(a.addDiscovered).run(ctx) }()
	require.Eventually(t, func() bool { return len(balancer.received()) > 0 }, 10*rediscoverMin, 10*time.Millisecond)
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
}

// sampledStore can be sampled once it is up, and counts the tries.
type sampledStore struct {
	callStore
	down    int
	samples int
}

func (s *sampledStore) Sample(ctx context.Context, k objectapi.Kind, _ string) ([]objectapi.Object, error) {
	s.samples++
	if s.samples <= s.down {
		return nil, objectapi.NewCallError(objectapi.OpSample, k, "", "test", objectapi.ErrUnavailable, nil)
	}
	objects, _, err := s.Store.List(ctx, k)
	return objects, err
}

// A try to create an object costs ten times as much as a look, and is repeated for as long as the object API is down.
func TestARestartedBalancerLooksForItsObjectBeforeItCreatesIt(t *testing.T) {
	for _, c := range []struct {
		reason     string
		registered bool
		writes     int32
	}{
		{"it has an object", true, 0},
		{"it has none", false, 1},
	} {
		s := &sampledStore{callStore: callStore{Store: store.New(store.Config{})}, down: 3}
		b := testBalancer(t)
		b.cfg.Name = "balancer-1"
		b.platform.Store = s
		if c.registered {
			_, err := registerMember(t.Context(), s.Store, zerolog.Nop(), "balancer-1", b.self)
			require.NoError(t, err)
		}
		_, err := b.register(t.Context(), true)
		require.NoError(t, err)
		require.Equal(t, 4, s.samples, c.reason)
		require.Equal(t, c.writes, s.calls.Load(), c.reason)
	}
}
