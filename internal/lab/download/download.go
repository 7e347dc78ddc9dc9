package download

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/target"
)

// Spec describes one download.
type Spec struct {
	// Service is the name of the service that must answer, Address the address at which callers reach it.
	Service string
	Address netip.AddrPort
	// Flow identifies the content.
	Flow string
	// Bytes is the size of the content.
	Bytes int
	// Chunk and Every make the target send Chunk bytes per interval; Every 0 sends without pauses.
	Chunk int
	Every time.Duration
}

func (s Spec) url() string {
	url := fmt.Sprintf("http://%s%s?flow=%s&size=%d", s.Address, target.PathDownload, s.Flow, s.Bytes)
	if s.Every > 0 {
		url += fmt.Sprintf("&chunk=%d&every=%s", s.Chunk, s.Every)
	}
	return url
}

// Client returns an HTTP client of one caller whose packets cross the fabric one by one; each request is a flow.
func Client(f *fabric.Fabric, caller netip.Addr, timeout time.Duration) *http.Client {
	c := f.NewCaller(caller)
	return &http.Client{
		Transport: &http.Transport{DialContext: c.DialContext, DisableKeepAlives: true},
		Timeout:   timeout,
	}
}

// Get performs the download and returns the ID of the target that answered. It returns an error if the download was cut
// or wrong, or if another service answered.
func Get(ctx context.Context, c *http.Client, s Spec) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(), nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	resp, err := c.Do(r)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", trace.Errorf("%s answered %s", s.Service, resp.Status)
	}
	if got := resp.Header.Get(target.HeaderService); got != s.Service {
		return "", trace.CompareFailed("asked %s, answered by %q", s.Service, got)
	}
	checker := target.NewChecker(s.Service, s.Flow)
	if _, err := io.Copy(checker, resp.Body); err != nil {
		return "", trace.Wrap(err)
	}
	if checker.Size() != int64(s.Bytes) {
		return "", trace.CompareFailed("%s: %d of %d bytes", s.Service, checker.Size(), s.Bytes)
	}
	return resp.Header.Get(target.HeaderTarget), nil
}
