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

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// listStore returns the given values from a list.
type listStore struct {
	objectapi.Store
	values []string
}

func (s listStore) List(context.Context, objectapi.Kind) ([]objectapi.Object, uint64, error) {
	var out []objectapi.Object
	for i, v := range s.values {
		out = append(out, objectapi.Object{Kind: MemberKind, Name: string(rune('a' + i)), Version: 1, Value: []byte(v)})
	}
	return out, 1, nil
}

// An entry of another writer that identifies no balancer does not invalidate the others.
func TestMembersWithoutAnAddressAreSkipped(t *testing.T) {
	s := listStore{values: []string{
		`{"messages":"10.1.0.1:7720"}`, ``, `null`, `{}`, `7`, `"x"`, `{"messages":7}`, `{"messages":""}`, `{"messages":"x"}`,
		`{"messages":"10.1.0.1"}`, `{"messages":"10.1.0.1:0"}`, `{"messages":"0.0.0.0:7720"}`, `{"messages":"224.0.0.1:7720"}`,
		`{"messages":"10.1.0.2:7720"}`,
	}}
	var got []netip.AddrPort
	known, _, err := readMembers(t.Context(), s, zerolog.Nop(), func(a []netip.AddrPort) { got = a })
	require.NoError(t, err)
	require.Len(t, known, len(s.values))
	require.Equal(t, []netip.AddrPort{firstAddress, selfAddress}, got)
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
	go func() { done <- a.discover(ctx) }()
	require.Eventually(t, func() bool { return len(balancer.received()) > 0 }, 10*rediscoverMin, 10*time.Millisecond)
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
}
