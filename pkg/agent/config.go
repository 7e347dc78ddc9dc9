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
	// socketBuffer is asked of the kernel for each socket, in bytes; the kernel may give less.
	socketBuffer = 8 << 20
	// tickTime is the time between two calls of Arbiter.Tick.
	tickTime = 100 * time.Millisecond
	// openingTime bounds how long a placed flow may have no connection, for example after a bad TCP checksum.
	openingTime = 5 * time.Second
	// endedTime is how long packets of an ended flow may still be sent: the time that the stack keeps it, and a second.
	endedTime = netstack.DefaultTimeWait + time.Second
	// messageFlows is the highest number of flow hashes in one datagram; 8 bytes each stay within one Ethernet frame.
	messageFlows = 150
)

// Config holds the settings of an agent.
type Config struct {
	// Name identifies the agent in logs and refusal records.
	Name string
	// Incarnation rises each time the agent starts.
	Incarnation uint64
	// Service is the service name that the target announced; SetAnnounced changes it. Empty takes any view.
	Service string
	// PacketAddress is the UDP address for datagrams; port 0 takes a free one.
	PacketAddress netip.AddrPort
	// FabricAddress is the UDP address for packets to callers.
	FabricAddress netip.AddrPort
	// TargetAddress is the address of the target, TCP and UDP.
	TargetAddress netip.AddrPort
	// MTU is the size of the largest packet to a caller in bytes; 0 means netstack.DefaultMTU.
	MTU int
	// Workers is the number of goroutines that handle datagrams; 0 means DefaultWorkers.
	Workers int
	// Connections is the highest number of open flows; 0 means no limit of the agent's own.
	Connections uint32
	// DialTimeout bounds the opening of a connection to the target; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// DrainTime replaces the service's drain time; 0 keeps it.
	DrainTime time.Duration
	// Linger is how long a drained agent still forwards packets; 0 means DefaultLinger.
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
		errs = append(errs, trace.BadParameter("packet address is no address and port"))
	}
	if !c.FabricAddress.IsValid() || c.FabricAddress.Port() == 0 {
		errs = append(errs, trace.BadParameter("fabric address is no address and port"))
	}
	if !c.TargetAddress.IsValid() || c.TargetAddress.Port() == 0 {
		errs = append(errs, trace.BadParameter("target address is no address and port"))
	}
	if c.Workers < 0 || c.Workers > maxWorkers {
		errs = append(errs, trace.BadParameter("workers %d is not in 0 to %d", c.Workers, maxWorkers))
	}
	if c.DialTimeout < 0 || c.DrainTime < 0 || c.Linger < 0 {
		errs = append(errs, trace.BadParameter("a time is negative"))
	}
	return trace.NewAggregate(errs...)
}

// encodedAddr is a packet address in its form on the wire.
type encodedAddr [wire.AddrSize]byte

func encodeAddr(a netip.AddrPort) encodedAddr {
	var b encodedAddr
	wire.AppendAddr(b[:0], a)
	return b
}
