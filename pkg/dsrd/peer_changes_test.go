package dsrd

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Every process sees every other for the first time when all start: a line for each would be one for each pair.
func TestManyChangesOfPeersAreOneLine(t *testing.T) {
	var peers []netip.AddrPort
	for i := range 490 {
		peers = append(peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720))
	}
	lines := func(n int) []string {
		var out bytes.Buffer
		agentRegained.log(zerolog.New(&out), peers[:n])
		return strings.Split(strings.TrimSpace(out.String()), "\n")
	}
	require.Len(t, lines(maxChangeLines), maxChangeLines)
	require.Contains(t, lines(1)[0], `"op":"agent-regained","peer":"10.1.0.0:7720"`)
	all := lines(490)
	require.Len(t, all, 1)
	require.Contains(t, all[0], `"count":490`)
	require.Less(t, len(all[0]), 600)
}
