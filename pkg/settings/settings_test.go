package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// example returns the text of a file of docs/examples.
func example(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", name))
	require.NoError(t, err)
	return b
}

// reasons returns the mistakes of err as text.
func reasons(t *testing.T, err error) []string {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	var list []string
	for _, m := range e.Mistakes {
		list = append(list, m.String())
	}
	return list
}

func TestExamplesAreValid(t *testing.T) {
	b, err := ParseBalancer(example(t, "balancer.toml"))
	require.NoError(t, err)
	require.Equal(t, "balancer-1", b.Name)
	require.Equal(t, []string{"10.1.0.12:7200", "10.2.0.11:7200"}, b.Peers)
	require.True(t, b.TLS.Enabled())
	a, err := ParseAgent(example(t, "agent.toml"))
	require.NoError(t, err)
	require.Equal(t, 5*time.Minute, a.DrainTime.Duration())
}

const balancerMinimum = `
name = "b1"
region = "r"
data_centre = "dc"
packet_address = "127.0.0.1:0"
control_address = "[::1]:0"
fabric_address = "127.0.0.1:7000"
[object_api]
url = "http://127.0.0.1:8080"
`

func TestMinimumTakesDefaults(t *testing.T) {
	b, err := ParseBalancer([]byte(balancerMinimum))
	require.NoError(t, err)
	want := DefaultBalancer()
	want.Process = Process{Name: "b1", Region: "r", DataCentre: "dc"}
	want.PacketAddress, want.ControlAddress, want.FabricAddress = "127.0.0.1:0", "[::1]:0", "127.0.0.1:7000"
	want.ObjectAPI.URL = "http://127.0.0.1:8080"
	require.Equal(t, want, b)
}

func TestEmptyFileNamesEveryRequiredKey(t *testing.T) {
	_, err := ParseBalancer(nil)
	require.Equal(t, []string{
		"name: is required", "region: is required", "data_centre: is required", "packet_address: is required",
		"control_address: is required", "fabric_address: is required", "object_api.url: is required",
	}, reasons(t, err))
	_, err = ParseAgent(nil)
	require.Equal(t, []string{
		"name: is required", "region: is required", "data_centre: is required", "packet_address: is required",
		"fabric_address: is required", "target_address: is required", "announce_address: is required",
		"balancers: at least one control address of a balancer is required",
	}, reasons(t, err))
}

func TestEveryMistakeIsReportedAtOnce(t *testing.T) {
	_, err := ParseBalancer([]byte(`
name = "B 1"
region = 3
data_centre = "dc"
packet_address = "localhost:1"
control_address = "127.0.0.1:0"
fabric_address = "0.0.0.0:0"
peers = ["127.0.0.1:1", "127.0.0.1:1", "x"]
workers = "four"
cached_flows = 1.5
lease_time = "soon"
extra = true
[log]
level = "loud"
colour = "red"
[tls]
ca = "ca.pem"
[object_api]
url = "ftp://x"
calls_per_second = nan
timeout = 5
[control]
bytes_per_second = 10
[unknown]
`))
	require.Equal(t, []string{
		"cached_flows: number 1.5 is not of the key's type, a whole number",
		"extra: is not a known key",
		`lease_time: text "soon" is not of the key's type, a duration such as "30s"`,
		"log.colour: is not a known key",
		`object_api.timeout: number 5 is not of the key's type, a duration such as "30s"`,
		"region: number 3 is not of the key's type, text or a list of texts",
		"unknown: is not a known key",
		`workers: text "four" is not of the key's type, a whole number`,
		`name: "B 1" is not a DNS label (lower-case letters, digits and hyphens, at most 63)`,
		`packet_address: "localhost:1" is not an IP address and port such as "127.0.0.1:7001" or "[::1]:7001"`,
		`fabric_address: "0.0.0.0:0" has port 0, to which nothing can be sent`,
		`fabric_address: "0.0.0.0:0" is the unspecified address, to which nothing can be sent`,
		`peers[1]: "127.0.0.1:1" is listed twice`,
		`peers[2]: "x" is not an IP address and port such as "127.0.0.1:7001" or "[::1]:7001"`,
		`log.level: "loud" is none of trace, debug, info, warn, error`,
		"tls.cert: is required",
		"tls.key: is required",
		`object_api.url: "ftp://x" is not a URL such as "http://127.0.0.1:8080"`,
		"object_api.calls_per_second: NaN is outside 0 (excluded) to 1000 calls a second",
		"control.bytes_per_second: 10 is outside 1000 to 100000000",
	}, reasons(t, err))
}

func TestMistakesNameTheUnitOfTheKey(t *testing.T) {
	_, err := ParseDSRBalancer([]byte("cpu_share = 0.0\nlink_mbps = -1.0\n"))
	all := strings.Join(reasons(t, err), "\n")
	require.Contains(t, all, "cpu_share: 0 is outside 0 (excluded) to 1024 cores")
	require.Contains(t, all, "link_mbps: -1 is outside 0 (excluded) to 1e+06 Mbit/s")
}

func TestTextThatIsNotTOML(t *testing.T) {
	_, err := ParseAgent([]byte("name = \"a\"\nregion = \n"))
	require.Len(t, reasons(t, err), 1)
	require.Contains(t, reasons(t, err)[0], "line 2")
}

func TestLoadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(path, []byte("mtu = 1"), 0o600))
	_, err := LoadAgent(path)
	require.ErrorContains(t, err, path)
	_, err = LoadAgent(path + ".missing")
	require.ErrorContains(t, err, path+".missing")
}

func TestOversizedInputIsRejected(t *testing.T) {
	// Decoding a key of thousands of parts took minutes.
	_, err := ParseAgent([]byte(strings.Repeat("a.", 5000) + "a = 1"))
	require.Contains(t, reasons(t, err), "a.a: is not a known table")
	_, err = ParseAgent(make([]byte, MaxFileSize+1))
	require.Len(t, reasons(t, err), 1)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(balancerMinimum))
	f.Add(example(f, "balancer.toml"))
	f.Add(example(f, "agent.toml"))
	f.Add([]byte("peers = [[1], {a=2}]\n[[log]]\nlevel=1"))
	f.Add([]byte(`"".a = 1979-05-27T07:32:00Z`))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := ParseBalancer(text)
		if err == nil && (b.Name == "" || b.Workers < 0 || !(b.ObjectAPI.CallsPerSecond > 0)) {
			t.Fatalf("accepted %+v", b)
		}
		a, err := ParseAgent(text)
		if err == nil && (len(a.Balancers) == 0 || a.MTU < minMTU) {
			t.Fatalf("accepted %+v", a)
		}
	})
}
