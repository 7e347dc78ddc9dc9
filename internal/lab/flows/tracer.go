package flows

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/packet"
)

const (
	tracedFirst = 30
	tracedLast  = 60
)

// tracer keeps the first and the last packets of each caller's flow as text.
type tracer struct {
	start time.Time
	mu    sync.Mutex
	flows map[netip.AddrPort]*packetList
}

// packetList holds the first packets, and the last ones as a ring.
type packetList struct {
	first []string
	last  []string
	next  int
}

func newTracer(start time.Time) *tracer {
	return &tracer{start: start, flows: make(map[netip.AddrPort]*packetList)}
}

// tap records a packet as text; it is used as fabric.Config.Tap.
func (t *tracer) tap(peer netip.AddrPort, toCaller bool, b []byte) {
	info, err := packet.Parse(b)
	if err != nil {
		return
	}
	caller, arrow := info.Key.Source, "->"
	if toCaller {
		caller, arrow = info.Key.Destination, "<-"
	}
	line := fmt.Sprintf("%.4fs %s %v %s", time.Since(t.start).Seconds(), arrow, peer, describe(b))
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.flows[caller]
	if l == nil {
		l = &packetList{}
		t.flows[caller] = l
	}
	l.add(line)
}

func (l *packetList) add(line string) {
	if len(l.first) < tracedFirst {
		l.first = append(l.first, line)
		return
	}
	if len(l.last) < tracedLast {
		l.last = append(l.last, line)
		return
	}
	l.last[l.next] = line
	l.next = (l.next + 1) % tracedLast
}

// lines returns the kept packets of a caller's flow in order.
func (t *tracer) lines(caller netip.AddrPort) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.flows[caller]
	if l == nil {
		return nil
	}
	out := append([]string(nil), l.first...)
	out = append(out, l.last[l.next:]...)
	return append(out, l.last[:l.next]...)
}

// describe returns flags, sequence numbers, window and payload length of a TCP segment, and only the length of an IPv6
// packet.
func describe(b []byte) string {
	if header.IPVersion(b) != header.IPv4Version {
		return fmt.Sprintf("%d bytes", len(b))
	}
	segment := header.TCP(header.IPv4(b).Payload())
	return fmt.Sprintf("%v seq %d ack %d window %d payload %d", segment.Flags(), segment.SequenceNumber(),
		segment.AckNumber(), segment.WindowSize(), len(segment.Payload()))
}
