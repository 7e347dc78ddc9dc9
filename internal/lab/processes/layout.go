package processes

import (
	"fmt"
	"net/netip"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Offsets of the ports from the base port.
const (
	portAPI          = 0
	portAdmin        = 1
	portFabric       = 2
	portBalancer     = 100
	portBalancerGRPC = 200
	portAgent        = 300
	portAnnounce     = 400
	portAgentControl = 500
	portTarget       = 600
	connections      = 2000
)

// Layout assigns the listening port of each process; all listen on 127.0.0.1.
type Layout struct {
	// Deployment gives services, targets and data centres.
	Deployment flows.Deployment
	Balancers  int
	// BasePort is the first port.
	BasePort int
}

func (l Layout) addr(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(l.BasePort+offset))
}

// targetPlace is one target of the layout.
type targetPlace struct {
	name string
	size flows.ServiceSize
	n    int
}

// targets lists the targets in the order of their services.
func (l Layout) targets() []targetPlace {
	var out []targetPlace
	for _, size := range l.Deployment.Services {
		for range size.Targets {
			n := len(out)
			out = append(out, targetPlace{name: fmt.Sprintf("%s-%d", size.Name, n+1), size: size, n: n})
		}
	}
	return out
}

func (l Layout) dataCentre(n int) string {
	places := l.Deployment.DataCentres
	return places[n%len(places)]
}

// services returns the services as an operator writes them.
func (l Layout) services() []resource.Service {
	var out []resource.Service
	for _, size := range l.Deployment.Services {
		out = append(out, resource.Service{Name: size.Name, Spec: resource.ServiceSpec{
			Addresses:  []resource.Address{size.Address},
			Mode:       resource.ModeStream,
			Preference: l.Deployment.Preference,
		}})
	}
	return out
}

func (l Layout) service(name string) (flows.ServiceSize, bool) {
	for _, size := range l.Deployment.Services {
		if size.Name == name {
			return size, true
		}
	}
	return flows.ServiceSize{}, false
}
