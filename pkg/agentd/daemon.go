package agentd

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/agent"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// Daemon is an agent process.
type Daemon struct {
	o         Options
	listener  net.Listener
	announce  *announceHandler
	refusals  *refusal.Log
	transport *transport
	requests  *requests
	control   net.Listener
	agent     atomic.Pointer[agent.Agent]
	session   atomic.Pointer[peer.Session]
	killed    context.Context
	kill      context.CancelFunc
	once      sync.Once
	// tls is the configuration of connections between agents; nil means plain TCP.
	tls *tls.Config
}

// New loads the TLS files and opens the announcement and control listeners. Run waits for the target's announcement and
// then serves the target.
func New(o Options) (*Daemon, error) {
	o = o.withDefaults()
	l, err := net.Listen("tcp", o.Settings.AnnounceAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listen for announcements at %s", o.Settings.AnnounceAddress)
	}
	d := &Daemon{o: o, listener: l, transport: &transport{}}
	d.announce = newAnnounceHandler(d.state)
	d.requests = &requests{d: d}
	d.killed, d.kill = context.WithCancel(context.Background())
	d.refusals = refusal.NewLog(refusal.Config{
		Process:     o.Settings.Name,
		Incarnation: o.Incarnation,
		Mirror:      d.transport,
		Logger:      o.Env.Log,
		Scope:       o.Env.Scope,
	})
	if err := d.loadTLS(); err != nil {
		_ = l.Close()
		return nil, trace.Wrap(err)
	}
	if err := d.openControl(); err != nil {
		_ = l.Close()
		return nil, trace.Wrap(err)
	}
	if o.Env.Status != nil {
		o.Env.Status.Set(d.status)
	}
	return d, nil
}

// AnnounceAddr returns the address of the announcement listener.
func (d *Daemon) AnnounceAddr() string { return d.listener.Addr().String() }

// Agent returns the packet path; nil before the target's announcement.
func (d *Daemon) Agent() *agent.Agent { return d.agent.Load() }

func (d *Daemon) Refusals() *refusal.Log { return d.refusals }

// announceDrain announces that the target is draining, and stops new requests on open connections.
func (d *Daemon) announceDrain() {
	d.requests.drain()
	if s := d.session.Load(); s != nil {
		s.Drain()
	}
}

// targetDown starts the drain, which ends the agent's incarnation, when the target refuses connections: a restarted
// target announces itself to the agent's next incarnation.
func (d *Daemon) targetDown(err error) {
	d.o.Env.Log.Warn().Err(err).Str("op", "target-down").Str("peer", d.o.Settings.TargetAddress).Send()
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.announce.startDrain()
	}
}

// Kill closes every socket immediately without notifying anyone, as a crash of the VM would.
func (d *Daemon) Kill() {
	d.once.Do(func() {
		if s := d.session.Load(); s != nil {
			s.Kill()
		}
		if a := d.agent.Load(); a != nil {
			a.Kill()
		}
		_ = d.listener.Close()
		d.requests.close()
		d.kill()
	})
}
