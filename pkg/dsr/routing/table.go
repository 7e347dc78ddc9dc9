package routing

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
)

// DefaultIdleTimeout is how long a flow without packets is kept when the configuration names no time. It is the usual
// idle timeout of the deployments that auburnwood was built for.
const DefaultIdleTimeout = 15 * time.Second

// Table answers which service a new flow goes to. It never changes.
type Table struct {
	configuration configuration.Configuration
	routes        map[netip.AddrPort]*configuration.Route
	services      map[string]*configuration.Service
}

// NewTable returns the table of a configuration.
func NewTable(c configuration.Configuration) *Table {
	t := &Table{
		configuration: c,
		routes:        make(map[netip.AddrPort]*configuration.Route, len(c.Routes)),
		services:      make(map[string]*configuration.Service, len(c.Services)),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		t.routes[c.Routes[i].Destination] = &c.Routes[i]
	}
	if t.configuration.IdleTimeout == 0 {
		t.configuration.IdleTimeout = DefaultIdleTimeout
	}
	return t
}

// Version returns the version of the configuration; 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.configuration.Version
}

// Label returns the operator's number of the configuration.
func (t *Table) Label() string {
	if t == nil {
		return ""
	}
	return t.configuration.Label
}

// IdleTimeout is how long a flow without packets is kept.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return DefaultIdleTimeout
	}
	return t.configuration.IdleTimeout
}

// HealthPath returns the path of the health check of a service's targets, or nothing.
func (t *Table) HealthPath(service string) string {
	return t.Declared(service).HealthPath
}

// Declared is what operators declare of a service; the zero value when they declare nothing.
func (t *Table) Declared(service string) configuration.Service {
	if t == nil || t.services[service] == nil {
		return configuration.Service{}
	}
	return *t.services[service]
}

// Regions are those that flows of a route to one of its services may reach. A nil route allows all.
func (t *Table) Regions(r *configuration.Route, service string) Regions {
	if r == nil {
		return Regions{}
	}
	return Regions{route: r.Regions, service: t.Declared(service).Regions}
}

// Regions are the regions that a route and a service allow; both bind. The zero value allows all.
type Regions struct {
	route, service []string
}

// Allow reports whether a region is allowed by both.
func (a Regions) Allow(region string) bool {
	return allows(a.route, region) && allows(a.service, region)
}

// allows reports whether a list of regions names one; an empty list allows all.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Len returns the number of routes.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// Route returns the route of an address, or nil when there is none.
func (t *Table) Route(destination netip.AddrPort) *configuration.Route {
	if t == nil {
		return nil
	}
	return t.routes[destination]
}

// Service returns the service of a route's new flow with the given hash. The same flow always gets the same share.
func Service(r *configuration.Route, hash uint64) string {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	point := (hash >> 20) % total
	for _, s := range r.Shares {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return ""
}
