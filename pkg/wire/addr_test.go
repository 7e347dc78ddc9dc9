package wire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAddrRoundTrip(t *testing.T) {
	for _, text := range []string{"127.0.0.1:1", "10.1.2.3:65535", "[2001:db8::1]:443", "[::]:0"} {
		want := netip.MustParseAddrPort(text)
		got, ok := Addr(AppendAddr(nil, want))
		require.True(t, ok, text)
		require.Equal(t, want, got)
	}
}

func TestRowAddrOutOfRange(t *testing.T) {
	row := AppendAddr(nil, netip.MustParseAddrPort("127.0.0.1:1"))
	for _, i := range []int{-1, 1, 1 << 30} {
		_, ok := RowAddr(row, i)
		require.False(t, ok, i)
	}
	_, ok := RowAddr(row[:AddrSize-1], 0)
	require.False(t, ok)
}

func FuzzDatagram(f *testing.F) {
	seed, err := (&Datagram{Kind: Kind_KIND_FORWARD, Service: "route-svc", Row: make([]byte, 2*AddrSize)}).MarshalVT()
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Datagram
		if d.UnmarshalVTUnsafe(b) != nil {
			return
		}
		for i := range RowLen(d.Row) {
			_, ok := RowAddr(d.Row, i)
			require.True(t, ok)
		}
		again, err := d.MarshalVT()
		require.NoError(t, err)
		var e Datagram
		require.NoError(t, e.UnmarshalVT(again))
		require.True(t, string(d.Packet) == string(e.Packet) && d.Flow == e.Flow && d.Position == e.Position)
	})
}
