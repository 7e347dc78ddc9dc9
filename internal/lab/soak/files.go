package soak

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

// graceTime is the GraceTime setting of all daemons: how long shutdown may take.
const graceTime = 6 * time.Second

func (w *world) writeBalancer(b *balancer) error {
	s := settings.DefaultDSRBalancer()
	w.fillProcessSettings(&s.DSRProcess, b.process, b.address, b.link)
	s.ControlAddress = netip.AddrPortFrom(b.address, w.ports.control).String()
	return write(b.settings, s)
}

func (w *world) writeAgent(a *agent) error {
	s := settings.DefaultDSRAgent()
	w.fillProcessSettings(&s.DSRProcess, a.process, a.address, a.link)
	s.Service = a.target.service
	s.TargetAddress = w.targetAddress(a.target).String()
	s.OutboundAddress = a.target.outbound.String()
	s.AnnounceAddress = a.target.control
	s.HeartbeatInterval = settings.NewDuration(heartbeatInterval)
	return write(a.settings, s)
}

func (w *world) fillProcessSettings(s *settings.DSRProcess, p *process, address netip.Addr, link *proxy) {
	at := func(port uint16) string { return netip.AddrPortFrom(address, port).String() }
	s.Name, s.Region, s.DataCentre = p.name, "soak", "dc-1"
	s.FirstStart = w.firstStart
	s.StatusAddress = at(w.ports.status)
	s.PacketAddress = at(w.ports.packets)
	s.ReadyAddress = at(w.ports.ready)
	s.MessagePort = int(w.ports.messages)
	s.GraceTime = settings.NewDuration(graceTime)
	s.ObjectAPI.URL = "http://" + link.address()
	s.ObjectAPI.Timeout = settings.NewDuration(500 * time.Millisecond)
	s.Log.Level = "info"
	for n := range min(3, w.o.Balancers) {
		s.Seeds = append(s.Seeds, netip.AddrPortFrom(w.address(balancerNet, n), w.ports.packets).String())
	}
}

// endFirstStart writes the settings with which the daemons start again after the first start of the whole system.
func (w *world) endFirstStart() error {
	w.firstStart = false
	for _, b := range w.balancers {
		if err := w.writeBalancer(b); err != nil {
			return err
		}
	}
	for _, a := range w.agents {
		if err := w.writeAgent(a); err != nil {
			return err
		}
	}
	return nil
}

func write(path string, s any) error {
	b, err := toml.Marshal(s)
	if err != nil {
		return trace.Wrap(err, "writing %s", path)
	}
	return trace.ConvertSystemError(os.WriteFile(path, b, 0o644))
}
