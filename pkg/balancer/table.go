package balancer

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// agentKey is the encoded packet address of an agent.
type agentKey [wire.AddrSize]byte

// destination is an address at which callers reach a service.
type destination struct {
	addr     netip.AddrPort
	protocol uint8
}

// route holds the data of one service that the packet path needs.
type route struct {
	service *view.Service
	rows    *placement.Table
	agents  map[agentKey]struct{}
}

// table is an immutable index of a view.
type table struct {
	revision uint64
	routes   map[destination]*route
	services map[string]*route
}

func newTable(v *view.View, previous *table) *table {
	t := &table{
		revision: v.Revision,
		routes:   make(map[destination]*route),
		services: make(map[string]*route, len(v.Services)),
	}
	for _, s := range v.Services {
		r := previous.reuse(s)
		t.services[s.Name] = r
		t.addAddresses(r)
	}
	return t
}

// reuse returns the existing route when the service's snapshot is the same object, else a new one. A new route keeps
// the existing rows if the ranking hasn't changed, since each view has new snapshots of all services.
func (t *table) reuse(s *view.Service) *route {
	if t == nil || t.services[s.Name] == nil {
		return newRoute(s, nil)
	}
	r := t.services[s.Name]
	if r.service == s {
		return r
	}
	return newRoute(s, r.rows)
}

func newRoute(s *view.Service, previous *placement.Table) *route {
	rows := placement.NextTable(previous, s)
	r := &route{service: s, rows: rows, agents: make(map[agentKey]struct{}, len(s.Targets))}
	for i := range s.Targets {
		r.agents[encodeAgent(s.Targets[i].Agent)] = struct{}{}
	}
	return r
}

func (t *table) addAddresses(r *route) {
	for _, a := range r.service.Spec.Addresses {
		ip, err := netip.ParseAddr(a.IP)
		if err != nil {
			continue
		}
		d := destination{addr: netip.AddrPortFrom(ip.Unmap(), a.Port), protocol: protocolNumber(a.Protocol)}
		t.routes[d] = r
	}
}

func (t *table) find(k flow.Key) *route {
	return t.routes[destination{addr: k.Destination, protocol: k.Protocol}]
}

func (r *route) hasAgent(k agentKey) bool {
	_, ok := r.agents[k]
	return ok
}

func protocolNumber(p resource.Protocol) uint8 {
	if p == resource.ProtocolUDP {
		return flow.ProtocolUDP
	}
	return flow.ProtocolTCP
}

func encodeAgent(a netip.AddrPort) agentKey {
	var k agentKey
	wire.AppendAddr(k[:0], a)
	return k
}

func (k agentKey) addr() netip.AddrPort {
	a, _ := wire.Addr(k[:])
	return a
}
