package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Default values of Options.
const (
	DefaultTicketBatch = 8
	DefaultSubmissions = 6
	// DefaultGrace is longer than the agents' grace period, so that their final response arrives.
	DefaultGrace = 750 * time.Millisecond
	// firstBackoff is the first delay after a failure without Retry-After; it doubles up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Options configures a Client.
type Options struct {
	// Base is the service's URL without a path, for example http://192.0.2.1:8080.
	Base string
	// Transport sends requests. They are built so that http.Transport doesn't resend them by itself.
	Transport http.RoundTripper
	// TicketBatch is the number of tickets requested at once; 0 means DefaultTicketBatch.
	TicketBatch int
	// Submissions is the maximum number of submissions of one request; 0 means DefaultSubmissions.
	Submissions int
	// Grace is how long after the deadline to wait for the response to a submission; 0 means DefaultGrace.
	Grace time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits; nil means a timer. It returns early with the error of ctx.
	Sleep func(ctx context.Context, d time.Duration) error
	// Rand is the source of jitter; nil means a random seed.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.TicketBatch == 0 {
		o.TicketBatch = DefaultTicketBatch
	}
	if o.Submissions == 0 {
		o.Submissions = DefaultSubmissions
	}
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = wait.For
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}
