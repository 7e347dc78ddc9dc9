package dsrd

import (
	"context"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// listStore answers a list with the given values.
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

// Another writer's entry names no balancer to use; the others hold.
func TestMembersThatNameNoAddressAreLeftOut(t *testing.T) {
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
