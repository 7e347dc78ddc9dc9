package flow

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHashIsStable(t *testing.T) {
	k := Key{
		Source:      netip.MustParseAddrPort("10.0.0.1:40000"),
		Destination: netip.MustParseAddrPort("10.9.0.1:80"),
		Protocol:    ProtocolTCP,
	}
	// The value is fixed so that processes of different builds agree on it.
	require.Equal(t, uint64(0xc13c30e37b189b10), k.Hash())
}

func TestHashDependsOnEveryField(t *testing.T) {
	base := Key{
		Source:      netip.MustParseAddrPort("10.0.0.1:40000"),
		Destination: netip.MustParseAddrPort("10.9.0.1:80"),
		Protocol:    ProtocolTCP,
	}
	changed := []Key{base, base, base, base, base}
	changed[0].Source = netip.MustParseAddrPort("10.0.0.2:40000")
	changed[1].Source = netip.MustParseAddrPort("10.0.0.1:40001")
	changed[2].Destination = netip.MustParseAddrPort("10.9.0.2:80")
	changed[3].Destination = netip.MustParseAddrPort("10.9.0.1:81")
	changed[4].Protocol = ProtocolUDP
	for _, k := range changed {
		require.NotEqual(t, base.Hash(), k.Hash(), k)
	}
}

func BenchmarkHash(b *testing.B) {
	k := Key{
		Source:      netip.MustParseAddrPort("10.0.0.1:40000"),
		Destination: netip.MustParseAddrPort("10.9.0.1:80"),
		Protocol:    ProtocolTCP,
	}
	b.ReportAllocs()
	for b.Loop() {
		k.Hash()
	}
}
