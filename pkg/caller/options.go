package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Defaults of Options.
const (
	DefaultTicketBatch = 8
	DefaultSubmissions = 6
	// DefaultGrace is longer than the agents' grace, so that their last word arrives.
	DefaultGrace = 750 * time.Millisecond
	// firstBackoff is the first pause after a failure that names no time; it doubles up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Options configures a Client.
type Options struct {
	// Base is the service's URL without a path, for example http://192.0.2.1:8080.
	Base string
	// Transport sends requests; requests are written so that http.Transport doesn't repeat them by itself.
	Transport http.RoundTripper
	// TicketBatch is the number of tickets that are taken at once; 0 means DefaultAhead.
	TicketBatch int
	// Submissions is the highest number of submissions of one request; 0 means DefaultSubmissions.
	Submissions int
	// Grace is how long after the deadline a submission that was sent is still listened to; 0 means DefaultGrace.
	Grace time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits; nil means a timer. It returns early with the error of ctx.
	Sleep func(ctx context.Context, d time.Duration) error
	// Rand spreads repeats over time; nil takes a random seed.
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
