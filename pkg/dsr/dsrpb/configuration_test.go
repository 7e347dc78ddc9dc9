package dsrpb

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
)

// large returns a configuration of n routes with names like those of operators.
func large(n int) configuration.Configuration {
	c := configuration.Configuration{Version: 530, Label: "7", IdleTimeout: 15 * time.Second}
	for i := range n {
		c.Routes = append(c.Routes, configuration.Route{
			Name:        fmt.Sprintf("r-%x", uint32(i)*2654435761),
			Destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 8443),
			Shares:      []configuration.Share{{Service: "route-svc", Weight: 900}, {Service: "reports-svc", Weight: 100}},
			Priority:    i%3 - 1,
			Aim:         120 * time.Millisecond,
			Timeout:     1200*time.Millisecond + 500*time.Microsecond,
		})
	}
	c.Services = []configuration.Service{{Name: "route-svc", HealthPath: "/health"}, {Name: "reports-svc"}}
	return c
}

func TestConfigurationRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 1300} {
		want := large(n)
		b, err := EncodeConfiguration(want)
		require.NoError(t, err)
		got, err := DecodeConfiguration(b)
		require.NoError(t, err)
		require.Equal(t, len(want.Routes), len(got.Routes))
		if n == 0 {
			want.Routes, got.Routes = nil, nil
		}
		require.Equal(t, want, got)
	}
}

func TestDecodingACorruptConfigurationFails(t *testing.T) {
	b, err := EncodeConfiguration(large(10))
	require.NoError(t, err)
	for _, broken := range [][]byte{nil, {1, 2, 3}, b[:len(b)/2], append([]byte{0xff}, b...)} {
		_, err := DecodeConfiguration(broken)
		require.Error(t, err)
	}
	raw, err := EncodeConfiguration(configuration.Configuration{Routes: []configuration.Route{{Name: "r"}}})
	require.NoError(t, err)
	_, err = DecodeConfiguration(raw)
	require.ErrorIs(t, err, ErrDestination)
}

func FuzzDecodeConfiguration(f *testing.F) {
	b, err := EncodeConfiguration(large(3))
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := DecodeConfiguration(b)
		if err != nil {
			require.Empty(t, c.Routes)
		}
	})
}

// BenchmarkConfigurationCodec measures encoding (once for each version) and decoding (on each balancer) of a
// configuration; json is the previous format, the document in base64 within another document.
func BenchmarkConfigurationCodec(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		c := large(n)
		encoded, err := EncodeConfiguration(c)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = EncodeConfiguration(c)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
		b.Run(fmt.Sprintf("decode/%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = DecodeConfiguration(encoded)
			}
		})
		document, err := json.Marshal(c)
		require.NoError(b, err)
		wrapped, err := json.Marshal(document)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("json/%d", n), func(b *testing.B) {
			for b.Loop() {
				var inner []byte
				var out configuration.Configuration
				_ = json.Unmarshal(wrapped, &inner)
				_ = json.Unmarshal(inner, &out)
			}
			b.ReportMetric(float64(len(wrapped)), "bytes")
		})
	}
}
