package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTarget(t *testing.T, edit func(*Config)) (*Target, string) {
	cfg := Config{Service: "route-svc", ID: "r1"}
	if edit != nil {
		edit(&cfg)
	}
	x, err := Start(cfg, nil)
	require.NoError(t, err)
	t.Cleanup(x.Kill)
	return x, "http://" + x.Addr().String()
}

func get(t *testing.T, url string) (*http.Response, []byte) {
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, body
}

func TestDownloadMatchesContent(t *testing.T) {
	_, url := newTarget(t, nil)
	for _, query := range []string{"?flow=f1&size=100000", "?flow=f1&size=3000&chunk=1000&every=1ms"} {
		resp, body := get(t, url+PathDownload+query)
		require.Equal(t, "route-svc", resp.Header.Get(HeaderService))
		require.Equal(t, "r1", resp.Header.Get(HeaderTarget))
		_, err := NewChecker("route-svc", "f1").Write(body)
		require.NoError(t, err)
		_, err = NewChecker("route-svc", "f2").Write(body)
		require.Error(t, err, "another flow's content differs")
		_, err = NewChecker("reports-svc", "f1").Write(body)
		require.Error(t, err, "another service's content differs")
	}
}

func TestUpload(t *testing.T) {
	_, url := newTarget(t, nil)
	for flow, intact := range map[string]bool{"f1": true, "f2": false} {
		body := io.LimitReader(Content("route-svc", "f1"), 5000)
		resp, err := http.Post(url+PathUpload+"?flow="+flow, "application/octet-stream", body)
		require.NoError(t, err)
		var got Upload
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
		require.NoError(t, resp.Body.Close())
		require.Equal(t, intact, got.Intact)
		require.Equal(t, intact, got.Size == 5000)
	}
}

func TestEcho(t *testing.T) {
	_, url := newTarget(t, nil)
	r, w := io.Pipe()
	resp, err := http.Post(url+PathEcho, "application/octet-stream", io.MultiReader(bytes.NewReader([]byte("a")), r))
	require.NoError(t, err)
	defer resp.Body.Close()
	b := make([]byte, 1)
	for _, c := range "abc" {
		if c != 'a' {
			_, err = w.Write([]byte{byte(c)})
			require.NoError(t, err)
		}
		_, err = io.ReadFull(resp.Body, b)
		require.NoError(t, err)
		require.Equal(t, byte(c), b[0])
	}
	require.NoError(t, w.Close())
}

func TestWorkIsShedAndRecorded(t *testing.T) {
	x, url := newTarget(t, func(c *Config) { c.Slots = 2 })
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes := map[int]int{}
	x.slots <- struct{}{}
	x.slots <- struct{}{}
	for i := range 3 {
		wg.Go(func() {
			resp, _ := get(t, fmt.Sprintf("%s%s?id=%d&takes=1ms", url, PathWork, i))
			mu.Lock()
			defer mu.Unlock()
			codes[resp.StatusCode]++
		})
	}
	wg.Wait()
	require.Equal(t, map[int]int{http.StatusServiceUnavailable: 3}, codes)
	require.Equal(t, 3, x.Shed())
	require.Empty(t, x.Journal().Runs())
	<-x.slots
	resp, _ := get(t, url+PathWork+"?id=w&takes=1ms")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	runs := x.Journal().Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "w", runs[0].ID)
	require.False(t, runs[0].Cancelled || runs[0].Failed)
}

func TestFalseLoad(t *testing.T) {
	_, url := newTarget(t, func(c *Config) { c.FalseLoad = func(int) int { return 0 } })
	_, body := get(t, url+PathLoad)
	require.Equal(t, "0\n", string(body))
}

func TestColdStart(t *testing.T) {
	x, _ := newTarget(t, func(c *Config) { c.ColdStart, c.ColdFactor = time.Hour, 4 })
	require.Equal(t, 4*time.Second, x.workDuration(time.Second))
	x.started = x.started.Add(-2 * time.Hour)
	require.Equal(t, time.Second, x.workDuration(time.Second))
}

func TestFailedWorkIsRecorded(t *testing.T) {
	x, url := newTarget(t, func(c *Config) { c.FailWork = 1 })
	resp, _ := get(t, url+PathWork+"?id=w&takes=1ms")
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.True(t, x.Journal().Runs()[0].Failed)
}

func TestKillResetsConnections(t *testing.T) {
	x, url := newTarget(t, nil)
	resp, err := http.Get(url + PathDownload + "?flow=f&size=1000000&chunk=10&every=1h")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 1, x.Open())
	x.Kill()
	_, err = io.Copy(io.Discard, resp.Body)
	require.Error(t, err)
	_, err = http.Get(url + PathHealth)
	require.Error(t, err)
}

func TestBadQueries(t *testing.T) {
	_, url := newTarget(t, nil)
	for _, path := range []string{
		PathDownload, PathDownload + "?size=-1", PathDownload + "?size=1&every=x", PathDownload + "?size=1&every=1s&chunk=0", PathWork,
	} {
		resp, _ := get(t, url+path)
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, path)
	}
}

func TestDatagramsAreEchoedBehindALabel(t *testing.T) {
	x, _ := newTarget(t, nil)
	conn, err := net.Dial("udp", x.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("a\x00b"))
	require.NoError(t, err)
	b := make([]byte, 100)
	n, err := conn.Read(b)
	require.NoError(t, err)
	label, rest, ok := CutLabel(b[:n])
	require.True(t, ok)
	require.Equal(t, Label{Service: "route-svc", Target: "r1"}, label)
	require.Equal(t, "a\x00b", string(rest))
	_, _, ok = CutLabel([]byte("no label"))
	require.False(t, ok)
}

func TestTargetOwnsItsUDPPort(t *testing.T) {
	x, _ := newTarget(t, nil)
	_, err := Start(Config{Service: "route-svc", ID: "r2", Listen: x.Addr()}, nil)
	require.Error(t, err)
	taken, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer taken.Close()
	_, err = Start(Config{Service: "route-svc", ID: "r3", Listen: taken.LocalAddr().(*net.UDPAddr).AddrPort()}, nil)
	require.Error(t, err, "a target without its UDP port must not start")
}
