package arbiter

import (
	"cmp"
	"net/netip"
	"time"
)

// Config configures the arbiter of one agent.
type Config struct {
	// Self is the agent's packet address.
	Self netip.AddrPort
	// Incarnation is the incarnation of the agent.
	Incarnation uint64
	// Connections is the highest number of open flows; 0 means no limit.
	Connections uint32
	// Window is the time after a change for which the views of processes may differ; 0 means DefaultWindow.
	Window time.Duration
	// Linger is how long an ended flow is kept; 0 means DefaultLinger.
	Linger time.Duration
	// Idle is the time without packets after which the owner of a redirect is asked whether it still has the flow; 0 means DefaultIdle.
	Idle time.Duration
}

// Defaults of Config.
const (
	DefaultWindow = 5 * time.Second
	DefaultLinger = 30 * time.Second
	DefaultIdle   = 10 * time.Minute
)

// withDefaults returns c with its zero fields set and its address in the form that datagrams decode to.
func (c Config) withDefaults() Config {
	c.Self = netip.AddrPortFrom(c.Self.Addr().Unmap(), c.Self.Port())
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.Linger = cmp.Or(c.Linger, DefaultLinger)
	c.Idle = cmp.Or(c.Idle, DefaultIdle)
	return c
}
