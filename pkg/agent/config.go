package agent

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Defaults of a Config's fields.
const (
	DefaultWorkers     = 4
	DefaultDialTimeout = 2 * time.Second
	DefaultLinger      = 3 * time.Second
)

const (
	maxWorkers = 256
	// maxDatagram is the largest payload of a UDP datagram.
	maxDatagram = 65507
	// socketBuffer is the buffer size requested for each socket, in bytes; the kernel may grant less.
	socketBuffer = 8 << 20
	// tickInterval is the time between two calls of Arbiter.Tick.
	tickInterval = 100 * time.Millisecond
	// openingTimeout bounds how long a placed flow may stay without a connection, for example after a bad TCP checksum.
	openingTimeout = 5 * time.Second
	// endedRetention is how long packets of an ended flow may still be sent: the stack's TIME-WAIT plus one second.
	endedRetention = netstack.DefaultTimeWait + time.Second
	// maxMessageFlows bounds the flow hashes in one datagram; at 8 bytes each they fit in one Ethernet frame.
	maxMessageFlows = 150
)

// Config holds the settings of an agent.
type Config struct {
	// Name identifies the agent in logs and refusal records.
	Name string
	// Incarnation increases each time the agent starts.
	Incarnation uint64
	// Service is the service name that the target announced; SetAnnounced changes it. Empty accepts any view.
	Service string
	// PacketAddress is the UDP listen address for datagrams; port 0 selects a free port.
	PacketAddress netip.AddrPort
	// FabricAddress is the UDP address that packets to callers are sent to.
	FabricAddress netip.AddrPort
	// TargetAddress is the address of the target, TCP and UDP.
	TargetAddress netip.AddrPort
	// MTU is the size of the largest packet to a caller in bytes; 0 means netstack.DefaultMTU.
	MTU int
	// Workers is the number of goroutines that handle datagrams; 0 means DefaultWorkers.
	Workers int
	// Connections is the highest number of open flows; 0 means that the agent sets no limit.
	Connections uint32
	// DialTimeout bounds the opening of a connection to the target; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// DrainTime overrides the service's drain time; 0 keeps it.
	DrainTime time.Duration
	// Linger is how long a drained agent keeps forwarding packets; 0 means DefaultLinger.
	Linger time.Duration
	// RequestHandler serves the flows of services in request mode; nil treats them as streams.
	RequestHandler StreamHandler
}

func (c Config) withDefaults() Config {
	c.MTU = cmp.Or(c.MTU, netstack.DefaultMTU)
	c.Workers = cmp.Or(c.Workers, DefaultWorkers)
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.Linger = cmp.Or(c.Linger, DefaultLinger)
	return c
}

func (c Config) check() error {
	var errs []error
	if c.Name == "" {
		errs = append(errs, trace.BadParameter("name is empty"))
	}
	if !c.PacketAddress.IsValid() {
		errs = append(errs, trace.BadParameter("packet address is not an address and port"))
	}
	if !c.FabricAddress.IsValid() || c.FabricAddress.Port() == 0 {
		errs = append(errs, trace.BadParameter("fabric address is not an address and port: got %s", c.FabricAddress))
	}
	if !c.TargetAddress.IsValid() || c.TargetAddress.Port() == 0 {
		errs = append(errs, trace.BadParameter("target address is not an address and port: got %s", c.TargetAddress))
	}
	if c.Workers < 0 || c.Workers > maxWorkers {
		errs = append(errs, trace.BadParameter("workers %d is not in 0 to %d", c.Workers, maxWorkers))
	}
	if c.DialTimeout < 0 || c.DrainTime < 0 || c.Linger < 0 {
		errs = append(errs, trace.BadParameter("a time is negative: dial timeout %s, drain time %s, linger %s",
			c.DialTimeout, c.DrainTime, c.Linger))
	}
	return trace.NewAggregate(errs...)
}

// encodedAddr is a packet address in wire encoding.
type encodedAddr [wire.AddrSize]byte

func encodeAddr(a netip.AddrPort) encodedAddr {
	var b encodedAddr
	wire.AppendAddr(b[:0], a)
	return b
}
