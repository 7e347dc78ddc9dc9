package netstack

import (
	"time"

	"github.com/gravitational/trace"
)

// Defaults of a stack.
const (
	// DefaultMTU is the size of the largest IP packet in bytes (Ethernet's).
	DefaultMTU = 1500
	// MinMTU is the smallest MTU that IPv6 allows (RFC 8200).
	MinMTU = 1280
	// MaxMTU leaves room for a datagram's header in one UDP datagram of 65,507 bytes.
	MaxMTU = 64000
	// DefaultQueue is the number of packets that wait for Config.Output.
	DefaultQueue = 8192
	// DefaultMaxRTO bounds the exponential back-off, so that a flow resumes soon after a path is repaired.
	DefaultMaxRTO = 2 * time.Second
	// DefaultUserTimeout ends a connection whose peer acknowledges nothing.
	DefaultUserTimeout = 60 * time.Second
	// DefaultKeepalive is the idle time before, and the time between, keepalive probes.
	DefaultKeepalive = 60 * time.Second
	// DefaultTimeWait is how long a closed connection's address pair is kept.
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
	// MTU is the size of the largest IP packet in bytes; 0 means DefaultMTU.
	MTU int
	// Output takes each packet that the stack sends. It is called from one goroutine and must not keep the slice.
	Output func(packet []byte)
	// Flush is called after the last Output of a batch; it may be nil.
	Flush func()
	// Queue is the number of packets that wait for Output; 0 means DefaultQueue. More are lost, as on any link.
	Queue int
	// MaxRTO bounds the retransmission timeout; 0 means DefaultMaxRTO.
	MaxRTO time.Duration
	// UserTimeout ends a connection whose peer acknowledges nothing; 0 means DefaultUserTimeout.
	UserTimeout time.Duration
	// TimeWait is how long a closed connection's address pair is kept; 0 means DefaultTimeWait.
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
