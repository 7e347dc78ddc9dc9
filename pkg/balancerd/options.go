package balancerd

import (
	"context"
	"net"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Options are what a Daemon is made of.
type Options struct {
	// Settings are the checked settings.
	Settings settings.Balancer
	// Env holds logger, metrics and status.
	Env telemetry.Env
	// Store replaces the object API client made from the settings; nil keeps it. Programs that embed the daemon use it.
	Store objectapi.Store
	// WrapStore, when not nil, wraps each client of the object API. Programs that embed the daemon use it to hold calls back.
	WrapStore func(objectapi.Store) objectapi.Store
	// WrapView, when not nil, wraps the receiver of views. Programs that embed the daemon use it to hold views back.
	WrapView func(next func(*view.View)) func(*view.View)
	// Dial replaces TCP for the connections to other balancers; nil keeps it. Programs that embed the daemon cut peers off
	// by it.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// RolloutTick replaces the time between two judgements of a rollout; 0 keeps it.
	RolloutTick time.Duration
	// Incarnation replaces the start time in nanoseconds; 0 keeps it.
	Incarnation uint64
}

func (o Options) withDefaults() Options {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.WrapStore == nil {
		o.WrapStore = func(s objectapi.Store) objectapi.Store { return s }
	}
	if o.WrapView == nil {
		o.WrapView = func(next func(*view.View)) func(*view.View) { return next }
	}
	return o
}
