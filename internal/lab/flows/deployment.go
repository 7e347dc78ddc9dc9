package flows

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Deployment is the size of one operator's installation.
type Deployment struct {
	// Name is the name on the command line.
	Name string
	// Region is the region of all data centres.
	Region string
	// DataCentres are the places of the VMs.
	DataCentres []string
	// Services are the services with their targets.
	Services []ServiceSize
	// Preference holds for every service.
	Preference resource.Preference
}

// ServiceSize is the size of one service.
type ServiceSize struct {
	// Name is the service's name.
	Name string
	// Address is the address at which callers reach it.
	Address resource.Address
	// Targets is the number of targets.
	Targets int
	// Slots is the number of requests that a target runs at once.
	Slots uint32
	// Connections is the number of open connections that a target takes in the real installation.
	Connections uint32
}

const (
	connectionsOfTarget = 2000
	servicePort         = 80
)

// Deployments are the installations of the project's two operators.
var Deployments = []Deployment{
	{
		Name:        "zarqa",
		Region:      "amman-east",
		DataCentres: []string{"marka-hall", "zarqa-hall", "sahab-hall", "russeifa-hall"},
		Services: []ServiceSize{
			{Name: "route-svc", Address: address("198.51.100.1"), Targets: 7, Slots: 3, Connections: connectionsOfTarget},
			{Name: "reports-svc", Address: address("198.51.100.2"), Targets: 4, Slots: 3, Connections: connectionsOfTarget},
		},
		Preference: resource.PreferFlows,
	},
	{
		Name:        "saobien",
		Region:      "hcm",
		DataCentres: []string{"hcm-thuduc", "hcm-tanbinh", "hcm-q7"},
		Services: []ServiceSize{
			{Name: "airtime-core", Address: address("203.0.113.1"), Targets: 7, Slots: 4, Connections: connectionsOfTarget},
			{Name: "report-svc", Address: address("203.0.113.2"), Targets: 3, Slots: 4, Connections: connectionsOfTarget},
		},
		Preference: resource.PreferBalance,
	},
}

func address(ip string) resource.Address {
	return resource.Address{IP: ip, Port: servicePort, Protocol: resource.ProtocolTCP}
}

// FindDeployment returns the deployment of the name.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range Deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, trace.NotFound("unknown deployment %q, want zarqa or saobien", name)
}

// targetsOf returns the number of targets of a service.
func (d Deployment) targetsOf(service string) int {
	for _, s := range d.Services {
		if s.Name == service {
			return s.Targets
		}
	}
	return 0
}

// with returns the deployment with the addresses and the transport that the options want.
func (d Deployment) with(o Options) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		a := &d.Services[i].Address
		if o.IPv6 {
			a.IP = fmt.Sprintf("2001:db8:1::%x", i+1)
		}
		if o.UDP {
			a.Protocol = resource.ProtocolUDP
		}
	}
	return d
}
