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

// Options configures a Daemon.
type Options struct {
	// Settings are the validated settings.
	Settings settings.Balancer
	// Env holds logger, metrics and status.
	Env telemetry.Env
	// Store replaces the object API client that is created from the settings; nil keeps that client. Programs that embed
	// the daemon use it.
	Store objectapi.Store
	// WrapStore, when not nil, wraps each client of the object API. Programs that embed the daemon use it to delay calls.
	WrapStore func(objectapi.Store) objectapi.Store
	// WrapView, when not nil, wraps the receiver of views. Programs that embed the daemon use it to delay views.
	WrapView func(next func(*view.View)) func(*view.View)
	// Dial opens connections to other balancers; nil means TCP. Programs that embed the daemon use it to isolate peers.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// RolloutTick is the time between two evaluations of a rollout; 0 means the default.
	RolloutTick time.Duration
	// Incarnation is the process's incarnation; 0 means the start time in Unix nanoseconds.
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
