package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// waiter follows the status of services until each is in force or rejected.
type waiter struct {
	// want has the object version of each service that is still awaited.
	want map[string]uint64
	// last describes the last seen status of each service.
	last map[string]string
	// failed has the reason for each service that was rejected or may have been lost.
	failed []string
}

// waitInForce waits until the services are in force at their versions or newer on every known balancer. It returns an
// error when one of them is rejected, may have been lost, or is not in force when the context ends.
func waitInForce(ctx context.Context, store objectapi.Store, want map[string]uint64) error {
	w := waiter{want: maps.Clone(want), last: make(map[string]string, len(want))}
	for name := range want {
		w.last[name] = "no status yet"
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = objectapi.WatchKind(ctx, store, resource.KindServiceStatus, objectapi.InformerConfig{}, func(events []objectapi.Event, _ uint64) {
		for _, e := range events {
			w.observe(e)
		}
		if len(w.want) == 0 {
			cancel()
		}
	})
	return w.err()
}

// observe updates the waiter with a status event.
func (w *waiter) observe(e objectapi.Event) {
	want, ok := w.want[e.Object.Name]
	if !ok || e.Type != objectapi.EventPut {
		return
	}
	s, err := objectapi.Decode[resource.ServiceStatus](e.Object)
	if err != nil || s.Value.ObservedVersion < want {
		return
	}
	if objectapi.EraOf(s.Value.ObservedVersion) > objectapi.EraOf(want) {
		// The status refers to a service restored from an older copy, or to a later write over it.
		w.failed = append(w.failed, fmt.Sprintf("%s was stored, but the object API came back from an older copy since; get it, and apply it again if it is lost", e.Object.Name))
		delete(w.want, e.Object.Name)
		return
	}
	w.last[e.Object.Name] = "in force on " + s.Value.InForce.String()
	c, _ := s.Value.Condition(resource.ConditionAccepted)
	if c.Status == resource.StatusFalse {
		w.failed = append(w.failed, fmt.Sprintf("%s is not accepted: %s: %s", e.Object.Name, c.Reason, c.Message))
		delete(w.want, e.Object.Name)
	}
	if s.Value.AcceptedVersion >= want && s.Value.InForce.Complete() {
		delete(w.want, e.Object.Name)
	}
}

// err returns an error that lists the services that failed or were not in force in time, or nil.
func (w *waiter) err() error {
	lines := slices.Sorted(slices.Values(w.failed))
	for _, name := range slices.Sorted(maps.Keys(w.want)) {
		lines = append(lines, fmt.Sprintf("%s is stored, but was not in force on every balancer in time: %s", name, w.last[name]))
	}
	if len(lines) == 0 {
		return nil
	}
	return trace.Errorf("%s", strings.Join(lines, "\n"))
}
