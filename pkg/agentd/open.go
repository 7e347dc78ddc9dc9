package agentd

import (
	"net"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/agent"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// openControl opens the listener for requests that other agents hand over, if the settings give an address for it.
func (d *Daemon) openControl() error {
	addr := d.o.Settings.ControlAddress
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listen for other agents at %s", addr)
	}
	d.control = l
	if d.tls != nil {
		d.control = &peerListener{Listener: l, config: d.tls, log: d.o.Env.Log}
	}
	return nil
}

// loadTLS loads the TLS files of the settings, so that an invalid file fails startup.
func (d *Daemon) loadTLS() error {
	config, err := d.tlsFiles().Load()
	if err != nil {
		return trace.Wrap(err)
	}
	d.tls = config
	return nil
}

func (d *Daemon) tlsFiles() peer.TLSConfig {
	s := d.o.Settings.TLS
	return peer.TLSConfig{CA: s.CA, Cert: s.Certificate, Key: s.Key}
}

// controlAddr returns the address at which other agents hand over requests; empty when there is none.
func (d *Daemon) controlAddr() string {
	if d.control == nil {
		return ""
	}
	return d.control.Addr().String()
}

// components are the parts of the daemon that run from the target's announcement on.
type components struct {
	agent   *agent.Agent
	session *peer.Session
}

func (d *Daemon) open(a Announcement) (components, error) {
	p, err := d.openAgent(a)
	if err != nil {
		return components{}, trace.Wrap(err)
	}
	s, err := d.openSession(a, p)
	if err != nil {
		p.Kill()
		return components{}, trace.Wrap(err)
	}
	d.agent.Store(p)
	d.session.Store(s)
	d.transport.session.Store(s)
	return components{agent: p, session: s}, nil
}

func (d *Daemon) openAgent(a Announcement) (*agent.Agent, error) {
	s := d.o.Settings
	packets, err := netip.ParseAddrPort(s.PacketAddress)
	if err != nil {
		return nil, trace.Wrap(err, "packet_address")
	}
	fabric, err := netip.ParseAddrPort(s.FabricAddress)
	if err != nil {
		return nil, trace.Wrap(err, "fabric_address")
	}
	target, err := netip.ParseAddrPort(s.TargetAddress)
	if err != nil {
		return nil, trace.Wrap(err, "target_address")
	}
	d.requests.announced = a
	return agent.New(agent.Config{
		RequestHandler: d.requests,
		Name:           s.Name,
		Incarnation:    d.o.Incarnation,
		Service:        a.Service,
		PacketAddress:  packets,
		FabricAddress:  fabric,
		TargetAddress:  target,
		MTU:            s.MTU,
		Workers:        s.Workers,
		Connections:    a.Connections,
		DialTimeout:    s.TargetDialTimeout.Duration(),
		DrainTime:      s.DrainTime.Duration(),
	}, agent.Deps{
		Log:          d.o.Env.Log,
		Metrics:      d.o.Env.Scope,
		Refusals:     d.refusals,
		OnDraining:   d.announceDrain,
		OnTargetDown: d.targetDown,
	})
}

func (d *Daemon) openSession(a Announcement, p *agent.Agent) (*peer.Session, error) {
	s := d.o.Settings
	return peer.NewSession(peer.SessionConfig{
		Self: membership.Member{
			ID:          s.Name,
			Incarnation: d.o.Incarnation,
			Region:      s.Region,
			DataCentre:  s.DataCentre,
			PacketAddr:  p.PacketAddr(),
			ControlAddr: d.controlAddr(),
			Service:     a.Service,
			Version:     a.Version,
			Slots:       a.Slots,
			Connections: a.Connections,
			Weight:      a.Weight,
		},
		Seeds:    s.Balancers,
		TLS:      d.tlsFiles(),
		JoinTime: d.o.JoinTime,
		Ready:    newReadiness(d.requests.service.Load, s.Name).isReady,
		Load:     func() uint32 { return uint32(p.OpenFlows()) },
		Counts:   func() (uint64, uint64) { return d.counts(p) },
		OnView: d.o.WrapView(func(v *view.Service) {
			d.requests.setService(v)
			p.SetService(v)
		}),
		OnAgents:       d.requests.setAgents,
		OnRemoved:      func(string) { p.SetService(nil) },
		BytesPerSecond: s.Control.BytesPerSecond,
		Log:            d.o.Env.Log,
		Metrics:        d.o.Env.Scope,
	})
}
