package requests

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

// ending classifies the result of a request for the printed breakdown.
type ending struct {
	outcome    caller.Outcome
	protection string
	reason     string
	cause      string
}

func (c *checker) endingOf(t completion) ending {
	e := ending{outcome: t.result.Outcome, protection: protectionName(t.work), reason: t.result.Reason}
	if t.result.Outcome == caller.OutcomeUnknown {
		e.cause = c.cause(t)
	}
	if t.result.Outcome == caller.OutcomeRan {
		e.reason = ""
	}
	return e
}

func protectionName(w work) string {
	switch {
	case w.idem:
		return "idempotent"
	case w.protection == caller.ProtectionTicket:
		return "ticket"
	case w.protection == caller.ProtectionKey:
		return "key"
	}
	return "plain"
}

// String returns the non-empty parts separated by slashes.
func (e ending) String() string {
	s := e.outcome.String() + "/" + e.protection
	if e.reason != "" {
		s += "/" + e.reason
	}
	if e.cause != "" {
		s += "/" + e.cause
	}
	return s
}

// printEndings writes the number of requests with each ending.
func printEndings(out io.Writer, endings map[ending]int) {
	lines := make(map[string]int)
	for e, n := range endings {
		lines[e.String()] += n
	}
	for _, text := range slices.Sorted(maps.Keys(lines)) {
		fmt.Fprintf(out, "  %6d %s\n", lines[text], text)
	}
}
