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

// Defaults of Options.
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
	// Agent is the name of this agent; it is the issuer of its tickets.
	Agent string
	// Incarnation is unique for each start of the agent.
	Incarnation uint64
	// Service is the name of the service that the target serves.
	Service string
	// Target is the address of the target.
	Target netip.AddrPort
	// Slots is the number of requests that the target runs at once; 0 means DefaultSlots.
	Slots int
	// Queue is the highest number of waiting requests; 0 means limit.DefaultQueue.
	Queue int
	// Cold is true when the target has just started.
	Cold bool
	// Unbounded lets every request wait, whatever its deadline; it is for measured comparisons only.
	Unbounded bool
	// Deadline is the time that a request gets when it names none; 0 means DefaultDeadline.
	Deadline time.Duration
	// MaxTimeout is the longest time that a request may ask for; 0 means DefaultMaxTimeout.
	MaxTimeout time.Duration
	// Grace is how long after its deadline a started request may still answer; 0 means DefaultGrace.
	Grace time.Duration
	// TicketLifetime is the time in which a ticket must be submitted; 0 means ticket.DefaultLife.
	TicketLifetime time.Duration
	// TicketRetention is how long after its expiry the fate of a ticket is remembered; 0 means
	// ticket.DefaultRetention.
	TicketRetention time.Duration
	// TicketMax bounds the remembered tickets; 0 means ticket.DefaultMax.
	TicketMax int
	// CachedResponses is the number of small answers that are kept for repeats of a ticket; 0 means DefaultAnswers.
	CachedResponses int
	// Store keeps the claims; nil refuses requests that need one.
	Store objectapi.Store
	// Eras are those of the object API behind Store; nil means that it names none.
	Eras *objectapi.Eras
	// ClaimRate is the highest number of claims a second of this agent; 0 means DefaultClaimRate.
	ClaimRate float64
	// ClaimBurst is the number of claims that may be made at once; 0 means as many as a second allows, at least one.
	ClaimBurst int
	// RetryRatio is the number of retries that one request pays for; 0 means limit.DefaultRetryRatio.
	RetryRatio float64
	// Peers are the other agents of the service; nil means none.
	Peers Peers
	// DialTarget opens connections to the target; nil means net.Dialer.
	DialTarget DialFunc
	// DialPeer opens connections to the control addresses of peers; nil means net.Dialer.
	DialPeer DialFunc
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
	// Seed makes the secrets of tickets; nil takes it from the operating system.
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

// newRand returns a cryptographic generator, for secrets that callers can't guess.
func (o Options) newRand() *rand.Rand {
	if o.Seed != nil {
		return rand.New(rand.NewChaCha8(*o.Seed))
	}
	return rand.New(rand.NewChaCha8(randomSeed()))
}
