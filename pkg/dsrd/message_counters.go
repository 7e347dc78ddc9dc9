package dsrd

import (
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// messageCounters count the messages to or from other daemons by kind, and their bytes without the headers of UDP.
type messageCounters struct {
	bytes *totalCounter
	kinds []*totalCounter
	// other counts messages of a kind that this release does not know.
	other *totalCounter
}

func newMessageCounters(scope tally.Scope, direction string) *messageCounters {
	scope = scope.Tagged(map[string]string{"direction": direction})
	counter := func(kind string) *totalCounter {
		return &totalCounter{counter: scope.Tagged(map[string]string{"kind": kind}).Counter("dsr_messages")}
	}
	c := &messageCounters{bytes: &totalCounter{counter: scope.Counter("dsr_message_bytes")}, other: counter("other")}
	c.kinds = make([]*totalCounter, len(dsrpb.Kind_name))
	for i := range c.kinds {
		c.kinds[i] = counter(dsrpb.Kind(i).String())
	}
	return c
}

func (c *messageCounters) count(k dsrpb.Kind, size int) {
	c.bytes.add(uint64(size))
	if k < 0 || int(k) >= len(c.kinds) {
		c.other.add(1)
		return
	}
	c.kinds[k].add(1)
}

// totals are the counts since the start for the log, without those that are 0.
func (c *messageCounters) totals() *zerolog.Event {
	d := zerolog.Dict().Uint64("bytes", c.bytes.total.Load())
	for i, k := range c.kinds {
		if n := k.total.Load(); n > 0 {
			d.Uint64(dsrpb.Kind(i).String(), n)
		}
	}
	if n := c.other.total.Load(); n > 0 {
		d.Uint64("other", n)
	}
	return d
}

// totalCounter is a counter whose value can be read.
type totalCounter struct {
	counter tally.Counter
	total   atomic.Uint64
}

func (c *totalCounter) add(n uint64) {
	c.counter.Inc(int64(n))
	c.total.Add(n)
}
