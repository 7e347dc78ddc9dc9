package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

// agentFile writes a valid settings file of an agent, followed by top, and returns its path.
func agentFile(t *testing.T, top string) string {
	t.Helper()
	text := `name = "a1"
region = "r"
data_centre = "dc"
packet_address = "127.0.0.1:0"
fabric_address = "127.0.0.1:7000"
target_address = "127.0.0.1:7001"
announce_address = "127.0.0.1:0"
balancers = ["127.0.0.1:7002"]
` + top
	path := filepath.Join(t.TempDir(), "agent.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func daemon(f func(context.Context, settings.Agent, Env) error) Daemon[settings.Agent] {
	return Daemon[settings.Agent]{Name: "auburnwood-agent", Load: settings.LoadAgent, Run: f}
}

func TestMainExitCodes(t *testing.T) {
	idle := func(context.Context, settings.Agent, Env) error { return nil }
	fails := func(context.Context, settings.Agent, Env) error { return errors.New("socket is gone") }
	good, bad := agentFile(t, ""), agentFile(t, "mtu = 1\nnonsense = 2\n")
	for _, c := range []struct {
		name     string
		run      func(context.Context, settings.Agent, Env) error
		args     []string
		code     int
		out, err string
	}{
		{"help", idle, []string{"--help"}, ExitOK, "--settings", ""},
		{"version", idle, []string{"--version"}, ExitOK, "auburnwood-agent ", ""},
		{"build", idle, []string{"--version"}, ExitOK, " build " + Build(), ""},
		{"no settings", idle, nil, ExitUsage, "", "--settings FILE is required"},
		{"unknown flag", idle, []string{"--nope"}, ExitUsage, "", "nope"},
		{"argument", idle, []string{"--settings", good, "x"}, ExitUsage, "", `unexpected argument "x"`},
		{"no file", idle, []string{"--settings", "/nonexistent"}, ExitUsage, "", "/nonexistent"},
		{"mistakes", idle, []string{"--check", "--settings", bad}, ExitUsage, "", "nonsense: is not a known key"},
		{"all mistakes", idle, []string{"--settings", bad}, ExitUsage, "", "mtu: 1 is outside"},
		{"check", fails, []string{"--check", "--settings", good}, ExitOK, "no mistakes", ""},
		{"runs", idle, []string{"--settings", good}, ExitOK, `"message":"stopped"`, ""},
		{"console", idle, []string{"--settings", good, "--log-format", "console"}, ExitOK, "WRN starting", ""},
		{"fails", fails, []string{"--settings", good}, ExitFailure, "socket is gone", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errs lockedBuffer
			require.Equal(t, c.code, daemon(c.run).Main(t.Context(), c.args, &out, &errs), errs.String())
			require.Contains(t, out.String(), c.out)
			require.Contains(t, errs.String(), c.err)
		})
	}
}

func TestMainServesStatusUntilStopped(t *testing.T) {
	var out, errs lockedBuffer
	var addr string
	run := func(ctx context.Context, _ settings.Agent, env Env) error {
		env.Status.Set(func() any { return map[string]int{"revision": 7} })
		addr = statusAddress(t, &out)
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-ctx.Done()
		// The status must remain available during a graceful shutdown.
		var a statusResponse
		require.NoError(t, json.Unmarshal(get(t, "http://"+addr+PathStatus), &a))
		require.Equal(t, "a1", a.Process)
		require.Equal(t, map[string]any{"revision": 7.0}, a.State)
		return ctx.Err()
	}
	path := agentFile(t, "status_address = \"127.0.0.1:0\"\n")
	require.Equal(t, ExitOK, daemon(run).Main(t.Context(), []string{"--settings", path}, &out, &errs), errs.String())
	_, err := http.Get("http://" + addr + PathStatus)
	require.Error(t, err)
	begun, ended := strings.Index(out.String(), `"stopping"`), strings.Index(out.String(), `"stopped"`)
	require.Positive(t, begun, "the log has no line \"stopping\"")
	require.Greater(t, ended, begun)
}

// get returns the body of a response with status 200.
func get(t *testing.T, url string) []byte {
	t.Helper()
	a, err := http.Get(url)
	require.NoError(t, err)
	defer a.Body.Close()
	require.Equal(t, http.StatusOK, a.StatusCode)
	b, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return b
}

// statusAddress waits for the address of the status listener in the log.
func statusAddress(t *testing.T, log *lockedBuffer) string {
	t.Helper()
	return waitFor(t, log, `"status_address":"([^"]+)"`)
}

// waitFor waits until the log, which another goroutine writes, matches the pattern and returns its first group.
func waitFor(t *testing.T, log *lockedBuffer, pattern string) string {
	t.Helper()
	var m []string
	require.Eventually(t, func() bool {
		m = regexp.MustCompile(pattern).FindStringSubmatch(log.String())
		return m != nil
	}, 10*time.Second, time.Millisecond, log.String())
	return m[1]
}

// SIGHUP must not terminate the daemon: a valid file changes the log level, a file with mistakes changes nothing.
func TestSIGHUPReloadsSettings(t *testing.T) {
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	path := agentFile(t, "")
	var out, errs lockedBuffer
	run := func(_ context.Context, _ settings.Agent, env Env) error {
		write := func(extra string) {
			text, err := os.ReadFile(agentFile(t, extra))
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, text, 0o600))
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		}
		write("nonsense = 1\n")
		waitFor(t, &out, `"mistakes":"([^"]*nonsense)`)
		write("[log]\nlevel = \"warn\"\n")
		require.Equal(t, "false", waitFor(t, &out, `"level":"warn","restart_needed":(\w+)`))
		env.Log.Info().Msg("not written any more")
		write("[log]\nlevel = \"debug\"\nformat = \"console\"\n")
		require.Equal(t, "true", waitFor(t, &out, `"level":"debug","restart_needed":(\w+)`), "the format stays until a restart")
		write("mtu = 1300\n")
		require.Equal(t, "true", waitFor(t, &out, `"level":"info","restart_needed":(\w+)`))
		return nil
	}
	require.Equal(t, ExitOK, daemon(run).Main(t.Context(), []string{"--settings", path}, &out, &errs), errs.String())
	require.NotContains(t, out.String(), "not written any more")
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
