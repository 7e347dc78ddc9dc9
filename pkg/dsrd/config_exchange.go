package dsrd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// Limits of the exchange of configurations between balancers.
const (
	// fetchTimeout bounds the fetch of a configuration from another balancer.
	fetchTimeout = 500 * time.Millisecond
	// maxServed is the number of balancers that one serves its configuration at the same time. When all start together,
	// the others are asked again once they have it, so that the bytes of one do not grow with the number of balancers.
	maxServed = 8
	// busyPause is the pause after a peer that serves as many as it may, before the next one is asked.
	busyPause = 50 * time.Millisecond
	// maxFetchSize bounds a configuration fetched from another balancer, in bytes.
	maxFetchSize = 4 << 20
	// configurationPath is where a balancer serves its configuration.
	configurationPath = "/v2/configuration"
)

// fetchLoop fetches newer configurations from the balancers that have them.
func (k *configSync) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.wake:
		}
		source, behind := k.behind()
		if !behind || !source.IsValid() {
			continue
		}
		err := k.fetch(ctx, source)
		if errors.Is(err, errPeerBusy) {
			time.AfterFunc(busyPause, func() { signal(k.wake) })
			continue
		}
		if err != nil {
			k.log.Warn().Err(err).Str("op", "fetch-configuration").Stringer("peer", source).Msg("fetching the configuration from another balancer failed")
		}
	}
}

// fetch fetches the configuration of another balancer.
func (k *configSync) fetch(ctx context.Context, from netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+configurationPath, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close() //nolint:errcheck // The body was read or is given up.
	if resp.StatusCode == http.StatusTooManyRequests {
		return errPeerBusy
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchSize))
	if err != nil {
		return trace.Wrap(err)
	}
	c, err := dsrpb.DecodeConfiguration(b)
	if err != nil {
		return trace.Wrap(err)
	}
	k.adoptIfNewer(c, b, time.Time{})
	k.onChecked()
	return nil
}

// errPeerBusy is returned to a balancer that asks one that serves as many as it may.
var errPeerBusy = errors.New("the balancer serves its configuration to others")

// ServeHTTP sends the configuration in force to another balancer.
func (k *configSync) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	select {
	case k.serving <- struct{}{}:
		defer func() { <-k.serving }()
	default:
		http.Error(w, errPeerBusy.Error(), http.StatusTooManyRequests)
		return
	}
	encoded, err := k.encodedConfiguration()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(encoded)
}

// errNotConfigured is returned to a balancer that asks one that has just started.
var errNotConfigured = errors.New("no configuration yet")

// encodedConfiguration is the configuration in force for other balancers, encoded when the first of them asks.
func (k *configSync) encodedConfiguration() ([]byte, error) {
	k.encodeMu.Lock()
	defer k.encodeMu.Unlock()
	k.mu.Lock()
	c, encoded := k.inForce, k.encoded
	k.mu.Unlock()
	if c.Version == 0 {
		return nil, errNotConfigured
	}
	if encoded != nil {
		return encoded, nil
	}
	encoded, err := dsrpb.EncodeConfiguration(c)
	if err != nil {
		return nil, trace.Wrap(err, "encoding configuration %d", configuration.DisplayVersion(c.Version))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce.Version == c.Version {
		k.encoded = encoded
	}
	return encoded, nil
}
