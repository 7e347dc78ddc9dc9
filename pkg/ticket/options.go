package ticket

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	DefaultTTL       = time.Minute
	DefaultRetention = 5 * time.Minute
	DefaultMax       = 1 << 18
)

// Options configures a Book.
type Options struct {
	// Issuer is the agent's name.
	Issuer string
	// Incarnation differs with every start of the agent.
	Incarnation uint64
	// TTL is the time within which a ticket must be submitted; 0 means DefaultTTL.
	TTL time.Duration
	// Retention is how long after its expiry the state of a ticket is kept; 0 means DefaultRetention.
	Retention time.Duration
	// Max is the highest number of tickets in memory; 0 means DefaultMax. A full book issues none.
	Max int
	// Rand generates the secrets; production uses a ChaCha8 source with a random seed.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Max == 0 {
		o.Max = DefaultMax
	}
	return o
}
