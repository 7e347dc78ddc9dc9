package dsrd

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// sendInterval is how often it is tested which processes are due a message; the roster sets the interval of each.
const sendInterval = roster.EagerInterval

// node is the common part of the daemons.
type node struct {
	cfg      settings.DSRProcess
	platform Platform
	log      zerolog.Logger
	scope    tally.Scope
	started  time.Time
	// self is the address at which other daemons reach this one; balancers' addresses are at messagePort.
	self        netip.AddrPort
	messagePort uint16
	callerPort  uint16
	// packets is the socket for packets to callers, messages the one for other daemons.
	packets  *socket
	messages *socket
	// sent and received count the messages.
	sent     *messageCounters
	received *messageCounters
	alarm    *alarm
	// eras are those of the object API.
	eras *objectapi.Eras
	// runCtx ends when Run returns or Close is called.
	runCtx context.Context
	cancel context.CancelFunc

	// mu guards everything below and the decisions of the daemon.
	mu        sync.Mutex
	balancers roster.Peers
	// regained are the balancers that were seen again since the last log.
	regained []netip.AddrPort
	stopping bool
	buffer   []byte
}

func newNode(cfg settings.DSRProcess, p Platform, env telemetry.Env) (*node, error) {
	packets, err := netip.ParseAddrPort(cfg.PacketAddress)
	if err != nil {
		return nil, trace.Wrap(err, "reading packet_address")
	}
	n := &node{
		cfg:         cfg,
		platform:    p,
		log:         env.Log,
		scope:       env.Scope,
		started:     time.Now(),
		messagePort: uint16(cfg.MessagePort),
		sent:        newMessageCounters(env.Scope, "sent"),
		received:    newMessageCounters(env.Scope, "received"),
		alarm:       newAlarm(),
		buffer:      make([]byte, maxDatagram),
	}
	if n.packets, err = listenUDP(packets, env); err != nil {
		return nil, err
	}
	n.callerPort = n.packets.address().Port()
	if n.eras = p.Eras; n.eras == nil {
		n.eras = objectapi.NewEras()
	}
	n.balancers.Seed = uint64(n.started.UnixNano())
	n.runCtx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Close stops the daemon at once, without draining or notifying others.
func (n *node) Close() { n.cancel() }

// logTotals logs the messages of the whole life of the process, which the metrics lose with it.
func (n *node) logTotals() {
	n.log.Warn().Str("op", "stop").Dur("life_ms", time.Since(n.started)).Dict("sent", n.sent.totals()).
		Dict("received", n.received.totals()).Msg("messages to and from other daemons")
}

// seeds are the message addresses of the balancers in the settings.
func (n *node) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range n.cfg.Seeds {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			n.log.Warn().Err(err).Str("op", "start").Str("seed", text).Msg("seed is not a valid address")
			continue
		}
		out = append(out, netip.AddrPortFrom(a.Addr(), n.messagePort))
	}
	return out
}

// milliseconds converts a duration of a message.
func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// addBalancers adds balancers that others have named; it reports whether one is new. n.mu is held.
func (n *node) addBalancers(now time.Time, addresses []netip.AddrPort) bool {
	added := false
	for _, a := range addresses {
		if a.IsValid() && a != n.self && n.balancers.Add(now, a) {
			added = true
		}
	}
	return added
}

// contactNew adds balancers that others have named, and calls send, which sends to those that are due, when one is new.
func (n *node) contactNew(addresses []netip.AddrPort, send func(now time.Time)) {
	now := time.Now()
	n.mu.Lock()
	added := n.addBalancers(now, addresses)
	n.mu.Unlock()
	if added {
		send(now)
	}
}

// newDiscovery returns the search for balancers, which passes those that it finds to found.
func (n *node) newDiscovery(found func([]netip.AddrPort)) *discovery {
	return &discovery{
		store:      n.platform.Store,
		log:        n.log,
		seeds:      n.seeds(),
		firstStart: n.cfg.FirstStart,
		found:      found,
		isAlone:    n.hasNoBalancer,
	}
}

// hasNoBalancer reports whether no other balancer is alive.
func (n *node) hasNoBalancer(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.balancers.AnyAlive(now)
}

// recordRegained records for the log that a balancer was seen again. n.mu is held.
func (n *node) recordRegained(a netip.AddrPort) { n.regained = append(n.regained, a) }

// logBalancers logs which balancers were lost and regained since the last call. n.mu is held.
func (n *node) logBalancers(now time.Time) {
	balancerLost.log(n.log, n.balancers.NewlySilent(now))
	balancerRegained.log(n.log, n.regained)
	n.regained = n.regained[:0]
}

// send encodes a message and sends it to another daemon. n.mu is held.
func (n *node) send(to netip.AddrPort, m *dsrpb.Message) {
	size, err := m.MarshalToVT(n.buffer)
	if err != nil {
		n.log.Error().Err(err).Str("op", "send").Stringer("peer", to).Msg("a message cannot be encoded")
		return
	}
	n.sent.count(m.Kind, size)
	n.messages.write(to, n.buffer[:size])
}

// reset sends a packet that resets a flow to its caller. n.mu is held.
func (n *node) reset(key flow.Key, sequence uint32) {
	n.toCaller(key, n.platform.Codec.Reset(key, sequence))
}

// toCaller sends a packet to the flow's caller.
func (n *node) toCaller(key flow.Key, raw []byte) {
	n.packets.write(netip.AddrPortFrom(key.Source.Addr(), n.callerPort), raw)
}

// every calls f at once and then at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func encodeAddresses(list []netip.AddrPort) []byte {
	b := make([]byte, 0, len(list)*wire.AddrSize)
	for _, a := range list {
		b = wire.AppendAddr(b, a)
	}
	return b
}

func decodeAddresses(b []byte) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range wire.RowLen(b) {
		if a, ok := wire.RowAddr(b, i); ok {
			out = append(out, a)
		}
	}
	return out
}
