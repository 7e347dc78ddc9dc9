package request

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Defaults of Options.
const (
	DefaultDeadline   = 10 * time.Second
	DefaultMaxTimeout = 10 * time.Minute
	DefaultGrace      = 500 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	// Agent is the name of this agent; it is the issuer of its tickets.
	Agent string
	// Incarnation is unique for each start of the agent.
	Incarnation uint64
	// Service is the name of the service that the target serves.
	Service string
	// Target is the address of the target.
	Target netip.AddrPort
	// Deadline is the time that a request gets when it names none; 0 means DefaultDeadline.
	Deadline time.Duration
	// MaxTimeout is the longest time that a request may ask for; 0 means DefaultMaxTimeout.
	MaxTimeout time.Duration
	// Grace is how long after its deadline a started request may still answer; 0 means DefaultGrace.
	Grace time.Duration
	// Revision returns the configuration revision in force; nil means 0.
	Revision func() uint64
	// Recorder takes the refusal records.
	Recorder refusal.Recorder
	// Log takes a line for each placement decision and refusal.
	Log zerolog.Logger
	// Metrics takes the counters; nil means none.
	Metrics tally.Scope
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Deadline == 0 {
		o.Deadline = DefaultDeadline
	}
	if o.MaxTimeout == 0 {
		o.MaxTimeout = DefaultMaxTimeout
	}
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	if o.Revision == nil {
		o.Revision = func() uint64 { return 0 }
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
