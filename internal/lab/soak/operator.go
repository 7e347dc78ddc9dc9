package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Times of the operator.
const (
	// minChangeInterval is the minimum time between two changes.
	minChangeInterval = 1500 * time.Millisecond
	// inForceTimeout is the time after its acceptance within which a configuration must be in force on a balancer that
	// has been running and connected to the store throughout.
	inForceTimeout = 5 * time.Second
	statusInterval = 200 * time.Millisecond
	// idleTimeout is the configured idle timeout; no flow of a run is idle that long.
	idleTimeout = 20 * time.Second
)

// addressOf returns the address that only configuration v contains.
func addressOf(v int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + v>>8), byte(v)}), 80)
}

// configure writes the next configuration.
func (w *world) configure(ctx context.Context) error {
	w.mu.Lock()
	v := w.version + 1
	w.mu.Unlock()
	c := configuration.Configuration{Label: strconv.Itoa(v), IdleTimeout: idleTimeout}
	for address, service := range w.routesOf(v) {
		c.Routes = append(c.Routes, configuration.Route{
			Name: address.String(), Destination: address, Shares: []configuration.Share{{Service: service, Weight: 1}},
			Aim: 150 * time.Millisecond, Timeout: openTimeout,
		})
	}
	c.Services = []configuration.Service{{Name: serviceA, HealthPath: "/health"}, {Name: serviceB, HealthPath: "/health"}}
	b, err := platformtest.Document(c)
	if err != nil {
		return err
	}
	w.configMu.Lock()
	defer w.configMu.Unlock()
	if err := w.put(ctx, b); err != nil {
		return err
	}
	w.document = b
	w.mu.Lock()
	w.version, w.acceptedAt = v, time.Now()
	w.mu.Unlock()
	return nil
}

// routesOf returns the services to which the addresses lead in configuration v.
func (w *world) routesOf(v int) map[netip.AddrPort]string {
	routes := map[netip.AddrPort]string{addressA: serviceA, addressB: serviceB, addressOf(v): serviceA}
	if w.o.Changes {
		routes[movingAddress] = []string{serviceA, serviceB}[v%2]
	}
	return routes
}

// put creates or updates the configuration object.
func (w *world) put(ctx context.Context, b []byte) error {
	o, err := w.store.Get(ctx, platformtest.ConfigurationKind, platformtest.ConfigurationName)
	if errors.Is(err, objectapi.ErrNotFound) {
		_, err = w.store.Create(ctx, platformtest.ConfigurationKind, platformtest.ConfigurationName, b)
		return err
	}
	if err != nil {
		return err
	}
	o.Value = b
	_, err = w.store.Update(ctx, o)
	return err
}

// changeConfiguration writes new configurations until ctx ends.
func (w *world) changeConfiguration(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		if err := w.configure(ctx); err != nil && !errors.Is(err, objectapi.ErrUnavailable) && ctx.Err() == nil {
			w.counts.violation("the stand-in for the object API failed: %v", err)
		}
		_ = wait.For(ctx, between(random, minChangeInterval, minChangeInterval+inForceTimeout))
	}
}

// latestAccepted returns the latest accepted configuration and the time since it was last written.
func (w *world) latestAccepted() (version int, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, time.Since(w.acceptedAt)
}

// checkConfiguration checks the configuration in force on a balancer: it must not go back within one incarnation of the
// process, and must become the latest one within inForceTimeout while no fault affects the balancer.
func (w *world) checkConfiguration(ctx context.Context, b *balancer) {
	incarnation, last, undisturbed := 0, 0, time.Now()
	for ; ctx.Err() == nil; _ = wait.For(ctx, statusInterval) {
		if b.starts() != incarnation {
			incarnation, last = b.starts(), 0
		}
		if !b.running() || b.link.currentMode() != linkPasses {
			undisturbed = time.Now()
			continue
		}
		version, age := w.latestAccepted()
		label, err := b.label(ctx)
		if err != nil || b.starts() != incarnation {
			continue
		}
		if label < last {
			w.counts.violation("%s went back from configuration %d to %d", b.name, last, label)
		}
		last = max(last, label)
		if age > inForceTimeout && time.Since(undisturbed) > inForceTimeout && label < version {
			w.counts.violation("%s has configuration %d in force, but %d was accepted %s ago", b.name, label, version, age)
			undisturbed = time.Now()
		}
	}
}

// label returns the configuration in force according to the status of a balancer, 0 if there is none.
func (b *balancer) label(ctx context.Context) (int, error) {
	s, err := b.state(ctx)
	if err != nil || s.Label == "" {
		return 0, err
	}
	return strconv.Atoi(s.Label)
}

// balancerState is the part of a balancer's status that is checked.
type balancerState struct {
	Label           string `json:"label"`
	ListedAgents    int    `json:"listedAgents"`
	AllAgentsListed bool   `json:"allAgentsListed"`
}

// state returns the status of the balancer.
func (b *balancer) state(ctx context.Context) (balancerState, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.status+"/status", nil)
	if err != nil {
		return balancerState{}, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return balancerState{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read.
	var s struct {
		State balancerState `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return balancerState{}, fmt.Errorf("status of %s: %w", b.name, err)
	}
	return s.State, nil
}
