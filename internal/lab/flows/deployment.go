package flows

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Deployment describes one operator's installation.
type Deployment struct {
	// Name is the name on the command line.
	Name string
	// Region is the region of all data centres.
	Region string
	// DataCentres are the data centres of the VMs.
	DataCentres []string
	// Services lists the services with their sizes.
	Services []ServiceSize
	// Preference applies to every service.
	Preference resource.Preference
}

// ServiceSize is the size of one service.
type ServiceSize struct {
	Name string
	// Address is the address at which callers reach it.
	Address resource.Address
	Targets int
	// Slots is the number of requests that a target runs concurrently.
	Slots uint32
	// Connections is the connection limit of a target in the real installation.
	Connections uint32
}

const (
	connectionsPerTarget = 2000
	servicePort          = 80
)

// Deployments are the installations of the project's two operators.
var Deployments = []Deployment{
	{
		Name:        "zarqa",
		Region:      "amman-east",
		DataCentres: []string{"marka-hall", "zarqa-hall", "sahab-hall", "russeifa-hall"},
		Services: []ServiceSize{
			{Name: "route-svc", Address: address("198.51.100.1"), Targets: 7, Slots: 3, Connections: connectionsPerTarget},
			{Name: "reports-svc", Address: address("198.51.100.2"), Targets: 4, Slots: 3, Connections: connectionsPerTarget},
		},
		Preference: resource.PreferFlows,
	},
	{
		Name:        "saobien",
		Region:      "hcm",
		DataCentres: []string{"hcm-thuduc", "hcm-tanbinh", "hcm-q7"},
		Services: []ServiceSize{
			{Name: "airtime-core", Address: address("203.0.113.1"), Targets: 7, Slots: 4, Connections: connectionsPerTarget},
			{Name: "report-svc", Address: address("203.0.113.2"), Targets: 3, Slots: 4, Connections: connectionsPerTarget},
		},
		Preference: resource.PreferBalance,
	},
}

func address(ip string) resource.Address {
	return resource.Address{IP: ip, Port: servicePort, Protocol: resource.ProtocolTCP}
}

// FindDeployment returns the deployment with the name, or trace.NotFound.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range Deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, trace.NotFound("unknown deployment %q, want zarqa or saobien", name)
}

// targetsOf returns the number of targets of a service, or 0 for an unknown one.
func (d Deployment) targetsOf(service string) int {
	for _, s := range d.Services {
		if s.Name == service {
			return s.Targets
		}
	}
	return 0
}

// with returns a copy whose service addresses use the IP version and transport of the options.
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
