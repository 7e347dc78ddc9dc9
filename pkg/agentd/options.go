package agentd

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Options are what a Daemon is made of.
type Options struct {
	// Settings are the checked settings.
	Settings settings.Agent
	// Env holds logger, metrics and status.
	Env telemetry.Env
	// WrapView, when not nil, wraps the receiver of views. Programs that embed the daemon use it to hold views back.
	WrapView func(next func(*view.Service)) func(*view.Service)
	// Incarnation replaces the start time in nanoseconds; 0 keeps it.
	Incarnation uint64
	// JoinTime replaces the time for which the agent stays joining; 0 keeps the default.
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
