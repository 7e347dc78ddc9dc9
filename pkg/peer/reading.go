package peer

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// Reading holds the counters of one agent incarnation as last reported to a watcher.
type Reading struct {
	// Agent and Incarnation identify the process that counted.
	Agent       string
	Incarnation uint64
	// Version is the version that the target announced.
	Version string
	// Requests and Failures count the requests that ended at the target since the incarnation began; Requests includes
	// the failures.
	Requests, Failures uint64
	// ZeroAge is the time since the watcher last received a zero request counter from the incarnation; 0 means that it
	// never did.
	ZeroAge time.Duration
}

func readingToProto(r Reading) *peerpb.Reading {
	p := &peerpb.Reading{
		Agent: r.Agent, Incarnation: r.Incarnation, Version: r.Version, Requests: r.Requests, Failures: r.Failures,
	}
	if r.ZeroAge > 0 {
		p.ZeroAgeMs = uint64((r.ZeroAge + time.Millisecond - 1) / time.Millisecond)
	}
	return p
}

func readingFromProto(p *peerpb.Reading) Reading {
	return Reading{
		Agent: p.GetAgent(), Incarnation: p.GetIncarnation(), Version: p.GetVersion(),
		Requests: p.GetRequests(), Failures: p.GetFailures(),
		ZeroAge: time.Duration(p.GetZeroAgeMs()) * time.Millisecond,
	}
}
