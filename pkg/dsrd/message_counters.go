package dsrd

import (
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// messageCounters count the messages to or from other daemons by kind, and their bytes without the headers of UDP.
type messageCounters struct {
	bytes tally.Counter
	kinds []tally.Counter
	// other counts messages of a kind that this release does not know.
	other tally.Counter
}

func newMessageCounters(scope tally.Scope, direction string) *messageCounters {
	scope = scope.Tagged(map[string]string{"direction": direction})
	counter := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"kind": kind}).Counter("dsr_messages")
	}
	c := &messageCounters{bytes: scope.Counter("dsr_message_bytes"), other: counter("other")}
	c.kinds = make([]tally.Counter, len(dsrpb.Kind_name))
	for i := range c.kinds {
		c.kinds[i] = counter(dsrpb.Kind(i).String())
	}
	return c
}

func (c *messageCounters) count(k dsrpb.Kind, size int) {
	c.bytes.Inc(int64(size))
	if k < 0 || int(k) >= len(c.kinds) {
		c.other.Inc(1)
		return
	}
	c.kinds[k].Inc(1)
}
