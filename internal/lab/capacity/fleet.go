package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// dataCentre returns the region and the name of the data centre of the i-th process.
func dataCentre(i int) (region, name string) {
	dc := i % fleetDataCentres
	return fmt.Sprintf("region-%d", dc%fleetRegions), fmt.Sprintf("data-centre-%d", dc)
}

// newMember returns a member record for the i-th process of a role.
func newMember(role membership.Role, i int) membership.Member {
	now := time.Now().Truncate(time.Millisecond).UTC()
	m := membership.Member{
		ID: fmt.Sprintf("%s-%04d", role, i), Role: role, Incarnation: uint64(now.UnixNano()), Sequence: 2,
		State: membership.StateActive, ActiveSince: now, Changed: now,
	}
	m.Region, m.DataCentre = dataCentre(i)
	m.PacketAddr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7100)
	if role == membership.RoleBalancer {
		m.ControlAddr = fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250)
	}
	return m
}

// newTargets returns count targets, distributed over the given number of services.
func newTargets(count, services int) []membership.Member {
	members := make([]membership.Member, 0, count)
	for i := range count {
		m := newMember(membership.RoleAgent, i)
		m.Service, m.Version = serviceName(i%services), "v1"
		m.Slots, m.Connections = 4, 2000
		members = append(members, m)
	}
	return members
}

func newBalancers(count int) []membership.Member {
	members := make([]membership.Member, 0, count)
	for i := range count {
		members = append(members, newMember(membership.RoleBalancer, i))
	}
	return members
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// serviceAddress returns the address of the i-th service.
func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)}), 443)
}

// newServices returns count services, each with one address.
func newServices(count int) []resource.Service {
	services := make([]resource.Service, 0, count)
	for i := range count {
		a := serviceAddress(i)
		services = append(services, resource.Service{Name: serviceName(i), Spec: resource.ServiceSpec{
			Addresses:  []resource.Address{{IP: a.Addr().String(), Port: a.Port()}},
			Mode:       resource.ModeStream,
			Preference: resource.PreferFlows,
			Shares:     []resource.Share{{Version: "v1", Weight: uint32(1 + i*7919%100)}, {Version: "v2", Weight: uint32(i * 104729 % 100)}},
			Limits:     resource.Limits{Slots: uint32(1 + i*31%8), Connections: uint32(1000 + i*7907%2000)},
			DrainTime:  resource.Duration(time.Duration(1+i*13%20) * time.Minute),
		}})
	}
	return services
}

// newRevision returns a revision of count services.
func newRevision(number uint64, count int) resource.Revision {
	r := resource.Revision{Number: number}
	for _, s := range newServices(count) {
		r.Services = append(r.Services, resource.ServiceConfig{Name: s.Name, Version: 1, Spec: s.Spec})
	}
	return r
}
