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
	// changeTime is the least time between two changes.
	changeTime = 1500 * time.Millisecond
	// inForceTime is how long after its acceptance a configuration may not be in force on a balancer that has been running
	// and reached the store all the time.
	inForceTime = 5 * time.Second
	statusTime  = 200 * time.Millisecond
	// idleTimeout is what the configuration says; no flow of the run is silent for as long.
	idleTimeout = 20 * time.Second
)

// addressOf is the address that only configuration v has.
func addressOf(v int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + v>>8), byte(v)}), 80)
}

// configure writes the next configuration.
func (w *world) configure(ctx context.Context) error {
	w.mu.Lock()
	v := w.version + 1
	w.mu.Unlock()
	c := configuration.Configuration{Label: strconv.Itoa(v), IdleTimeout: idleTimeout}
	for address, service := range map[netip.AddrPort]string{addressA: serviceA, addressB: serviceB, addressOf(v): serviceA} {
		c.Routes = append(c.Routes, configuration.Route{
			Name: address.String(), Destination: address, Shares: []configuration.Share{{Service: service, Weight: 1}},
			Aim: 150 * time.Millisecond, Timeout: openTime,
		})
	}
	c.Services = []configuration.Service{{Name: serviceA, HealthPath: "/health"}, {Name: serviceB, HealthPath: "/health"}}
	b, err := platformtest.Document(c)
	if err != nil {
		return err
	}
	w.operating.Lock()
	defer w.operating.Unlock()
	if err := w.put(ctx, b); err != nil {
		return err
	}
	w.document = b
	w.mu.Lock()
	w.version, w.acceptedAt = v, time.Now()
	w.mu.Unlock()
	return nil
}

// put stores the configuration.
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

// operate changes the configuration until ctx ends.
func (w *world) operate(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		if err := w.configure(ctx); err != nil && !errors.Is(err, objectapi.ErrUnavailable) && ctx.Err() == nil {
			w.counts.violation("the stand-in for the object API failed: %v", err)
		}
		_ = wait.For(ctx, between(random, changeTime, changeTime+inForceTime))
	}
}

// accepted is the newest configuration and the time since it was accepted.
func (w *world) accepted() (version int, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, time.Since(w.acceptedAt)
}

// watch checks what one balancer says about its configuration: it never goes back in one life of the process, and is the
// newest one in time when nothing has disturbed the balancer.
func (w *world) watch(ctx context.Context, b *balancer) {
	life, last, undisturbed := 0, 0, time.Now()
	for ; ctx.Err() == nil; _ = wait.For(ctx, statusTime) {
		if b.lives() != life {
			life, last = b.lives(), 0
		}
		if !b.running() || b.link.current() != linkPasses {
			undisturbed = time.Now()
			continue
		}
		version, age := w.accepted()
		label, err := b.label(ctx)
		if err != nil || b.lives() != life {
			continue
		}
		if label < last {
			w.counts.violation("%s went back from configuration %d to %d", b.name, last, label)
		}
		last = max(last, label)
		if age > inForceTime && time.Since(undisturbed) > inForceTime && label < version {
			w.counts.violation("%s has configuration %d, and %d was accepted %s ago", b.name, label, version, age)
			undisturbed = time.Now()
		}
	}
}

// label asks a balancer which configuration is in force.
func (b *balancer) label(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.status+"/status", nil)
	if err != nil {
		return 0, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // What could be read was read.
	var s struct {
		State struct {
			Label string `json:"label"`
		} `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return 0, fmt.Errorf("status of %s: %w", b.name, err)
	}
	if s.State.Label == "" {
		return 0, nil
	}
	return strconv.Atoi(s.State.Label)
}
