package agentd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Options configures a Daemon.
type Options struct {
	// Settings are the validated settings.
	Settings settings.Agent
	// Env holds logger, metrics and status.
	Env telemetry.Env
	// WrapView, when not nil, wraps the receiver of views. Programs that embed the daemon use it to delay views.
	WrapView func(next func(*view.Service)) func(*view.Service)
	// Incarnation is the process's incarnation; 0 means the start time in Unix nanoseconds.
	Incarnation uint64
	// JoinTime is how long the agent stays joining; 0 means the default.
	JoinTime time.Duration
}

func (o Options) withDefaults() Options {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.WrapView == nil {
		o.WrapView = func(next func(*view.Service)) func(*view.Service) { return next }
	}
	return o
}
