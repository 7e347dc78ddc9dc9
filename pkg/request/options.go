package request

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Default values of Options.
const (
	DefaultDeadline        = 10 * time.Second
	DefaultMaxTimeout      = 10 * time.Minute
	DefaultGrace           = 500 * time.Millisecond
	DefaultSlots           = 1
	DefaultClaimRate       = 20
	DefaultCachedResponses = 1024
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Server.
type Options struct {
	// Agent is the name of this agent, and the issuer of its tickets.
	Agent string
	// Incarnation is unique for each start of the agent.
	Incarnation uint64
	// Service is the name of the service that the target serves.
	Service string
	// Target is the address of the target.
	Target netip.AddrPort
	// Slots is the number of requests that the target runs concurrently; 0 means DefaultSlots.
	Slots int
	// Queue is the maximum number of waiting requests; 0 means limit.DefaultQueue.
	Queue int
	// Cold is true when the target has just started.
	Cold bool
	// Unbounded queues every request whatever its deadline; it is only for comparison measurements.
	Unbounded bool
	// Deadline is the time limit of a request that names none; 0 means DefaultDeadline.
	Deadline time.Duration
	// MaxTimeout is the longest time limit that a request may ask for; 0 means DefaultMaxTimeout.
	MaxTimeout time.Duration
	// Grace is how long after its deadline a started request may still be answered; 0 means DefaultGrace.
	Grace time.Duration
	// TicketLifetime is how long after its issue a ticket may be submitted; 0 means ticket.DefaultTTL.
	TicketLifetime time.Duration
	// TicketRetention is how long after its expiry the state of a ticket is kept; 0 means ticket.DefaultRetention.
	TicketRetention time.Duration
	// TicketMax is the maximum number of tickets in memory; 0 means ticket.DefaultMax.
	TicketMax int
	// CachedResponses is the number of small responses cached for repeats of a ticket; 0 means DefaultCachedResponses.
	CachedResponses int
	// Store holds the claims; with nil, requests that need a claim are refused.
	Store objectapi.Store
	// Eras tracks the eras of the object API behind Store; nil means that it has none.
	Eras *objectapi.Eras
	// ClaimRate is the maximum number of claims per second of this agent; 0 means DefaultClaimRate.
	ClaimRate float64
	// ClaimBurst is the maximum number of claims at once; 0 means the claims of one second, but at least one.
	ClaimBurst int
	// RetryRatio is the number of retries that each request adds to the retry budget; 0 means limit.DefaultRetryRatio.
	RetryRatio float64
	// Peers is the view of the other agents of the service; nil means none.
	Peers Peers
	// DialTarget opens connections to the target; nil means net.Dialer.
	DialTarget DialFunc
	// DialPeer opens connections to peers' control addresses; nil means net.Dialer.
	DialPeer DialFunc
	// Revision returns the configuration revision in force; nil means 0.
	Revision func() uint64
	// Recorder receives the refusal records.
	Recorder refusal.Recorder
	// Log gets one line for each placement decision and each refusal.
	Log zerolog.Logger
	// Metrics receives the counters; nil means none.
	Metrics tally.Scope
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the secrets of tickets; nil means a random seed from the operating system.
	Seed *[32]byte
}

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.Deadline = cmp.Or(o.Deadline, DefaultDeadline)
	o.MaxTimeout = cmp.Or(o.MaxTimeout, DefaultMaxTimeout)
	o.Grace = cmp.Or(o.Grace, DefaultGrace)
	o.ClaimRate = cmp.Or(o.ClaimRate, DefaultClaimRate)
	o.ClaimBurst = cmp.Or(o.ClaimBurst, max(int(o.ClaimRate), 1))
	o.RetryRatio = cmp.Or(o.RetryRatio, limit.DefaultRetryRatio)
	o.CachedResponses = cmp.Or(o.CachedResponses, DefaultCachedResponses)
	if o.Peers == nil {
		o.Peers = noPeers{}
	}
	if o.Eras == nil {
		o.Eras = objectapi.NewEras()
	}
	d := &net.Dialer{Timeout: dialTimeout}
	if o.DialTarget == nil {
		o.DialTarget = d.DialContext
	}
	if o.DialPeer == nil {
		o.DialPeer = d.DialContext
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

// newRand returns a cryptographically secure generator: callers must not be able to guess ticket secrets.
func (o Options) newRand() *rand.Rand {
	if o.Seed != nil {
		return rand.New(rand.NewChaCha8(*o.Seed))
	}
	return rand.New(rand.NewChaCha8(randomSeed()))
}
