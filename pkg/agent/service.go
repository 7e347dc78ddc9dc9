package agent

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
)

type serviceAddr struct {
	addr     netip.AddrPort
	protocol uint8
}

// service is a snapshot of the agent's service with its addresses indexed for the packet path.
type service struct {
	*view.Service
	addresses map[serviceAddr]struct{}
}

func newService(s *view.Service) *service {
	if s == nil {
		return nil
	}
	out := &service{Service: s, addresses: make(map[serviceAddr]struct{}, len(s.Spec.Addresses))}
	for _, a := range s.Spec.Addresses {
		ip, err := netip.ParseAddr(a.IP)
		if err != nil {
			continue
		}
		protocol := flow.ProtocolTCP
		if a.Protocol == resource.ProtocolUDP {
			protocol = flow.ProtocolUDP
		}
		out.addresses[serviceAddr{netip.AddrPortFrom(ip.Unmap(), a.Port), protocol}] = struct{}{}
	}
	return out
}

// has reports whether the flow's destination is an address of the service.
func (s *service) has(k flow.Key) bool {
	_, ok := s.addresses[serviceAddr{k.Destination, k.Protocol}]
	return ok
}
