package netstack

import (
	"time"

	"github.com/gravitational/trace"
)

// Defaults of a stack.
const (
	// DefaultMTU is the MTU of Ethernet in bytes.
	DefaultMTU = 1500
	// MinMTU is the minimum MTU of IPv6 (RFC 8200).
	MinMTU = 1280
	// MaxMTU leaves room for the encapsulation header in a UDP datagram of at most 65,507 bytes.
	MaxMTU = 64000
	// DefaultQueue is the capacity in packets of the queue for Config.Output.
	DefaultQueue = 8192
	// DefaultMaxRTO bounds the exponential back-off, so that a flow resumes soon after a path recovers.
	DefaultMaxRTO = 2 * time.Second
	// DefaultUserTimeout is the TCP user timeout: a connection ends after that time without acknowledgements.
	DefaultUserTimeout = 60 * time.Second
	// DefaultKeepalive is the idle time before the first keepalive probe, and the interval between probes.
	DefaultKeepalive = 60 * time.Second
	// DefaultTimeWait is the duration of TIME-WAIT.
	DefaultTimeWait = 5 * time.Second
	// DefaultBuffer is the size of a connection's send and receive buffer in bytes.
	DefaultBuffer = 1 << 20
)

const (
	minRTO       = 200 * time.Millisecond
	minBuffer    = 4 << 10
	maxBuffer    = 8 << 20
	maxInFlight  = 1 << 16
	maxRetries   = 30
	synRetries   = 6
	defaultNIC   = 1
	outputBatch  = 128
	keepaliveTry = 5
)

// Config holds a stack's settings.
type Config struct {
	// MTU is the maximum size of an IP packet in bytes; 0 means DefaultMTU.
	MTU int
	// Output is called with each packet that the stack sends. It is called from one goroutine and must not retain the slice.
	Output func(packet []byte)
	// Flush is called after the last Output of a batch; it may be nil.
	Flush func()
	// Queue is the capacity in packets of the queue for Output; 0 means DefaultQueue. Excess packets are dropped.
	Queue int
	// MaxRTO bounds the retransmission timeout; 0 means DefaultMaxRTO.
	MaxRTO time.Duration
	// UserTimeout ends a connection after that time without acknowledgements; 0 means DefaultUserTimeout.
	UserTimeout time.Duration
	// TimeWait is the duration of TIME-WAIT; 0 means DefaultTimeWait.
	TimeWait time.Duration
	// Buffer is the size of a connection's send and receive buffer in bytes; 0 means DefaultBuffer.
	Buffer int
}

func (c Config) withDefaults() (Config, error) {
	if c.Output == nil {
		return c, trace.BadParameter("netstack: Output is not set")
	}
	if c.Flush == nil {
		c.Flush = func() {}
	}
	c.MTU = orInt(c.MTU, DefaultMTU)
	c.Queue = orInt(c.Queue, DefaultQueue)
	c.Buffer = orInt(c.Buffer, DefaultBuffer)
	c.MaxRTO = orTime(c.MaxRTO, DefaultMaxRTO)
	c.UserTimeout = orTime(c.UserTimeout, DefaultUserTimeout)
	c.TimeWait = orTime(c.TimeWait, DefaultTimeWait)
	if c.MTU < MinMTU || c.MTU > MaxMTU {
		return c, trace.BadParameter("netstack: MTU %d is not between %d and %d", c.MTU, MinMTU, MaxMTU)
	}
	if c.Buffer < minBuffer || c.Buffer > maxBuffer {
		return c, trace.BadParameter("netstack: Buffer %d is not between %d and %d", c.Buffer, minBuffer, maxBuffer)
	}
	return c, nil
}

func orInt(v, fallback int) int {
	if v == 0 {
		return fallback
	}
	return v
}

func orTime(v, fallback time.Duration) time.Duration {
	if v == 0 {
		return fallback
	}
	return v
}
