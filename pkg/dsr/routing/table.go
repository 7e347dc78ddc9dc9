package routing

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
)

// DefaultIdleTimeout is how long a flow without packets is kept when the configuration names no time. It is the typical
// idle timeout of the deployments that auburnwood was built for.
const DefaultIdleTimeout = 15 * time.Second

// Table holds the routes and services of one configuration. It is immutable.
type Table struct {
	configuration configuration.Configuration
	routes        map[netip.AddrPort]*configuration.Route
	services      map[string]*configuration.Service
	aims          map[string]time.Duration
}

func NewTable(c configuration.Configuration) *Table {
	t := &Table{
		configuration: c,
		routes:        make(map[netip.AddrPort]*configuration.Route, len(c.Routes)),
		services:      make(map[string]*configuration.Service, len(c.Services)),
		aims:          make(map[string]time.Duration, len(c.Services)),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		t.routes[c.Routes[i].Destination] = &c.Routes[i]
		t.recordAim(&c.Routes[i])
	}
	if t.configuration.IdleTimeout == 0 {
		t.configuration.IdleTimeout = DefaultIdleTimeout
	}
	return t
}

// recordAim notes the response time that a route promises for each of its services.
func (t *Table) recordAim(r *configuration.Route) {
	if r.Aim <= 0 {
		return
	}
	for _, s := range r.Shares {
		if aim, known := t.aims[s.Service]; s.Weight > 0 && (!known || r.Aim < aim) {
			t.aims[s.Service] = r.Aim
		}
	}
}

// Aim returns the shortest response time that the routes of a service promise; 0 when none is declared.
func (t *Table) Aim(service string) time.Duration {
	if t == nil {
		return 0
	}
	return t.aims[service]
}

// Version returns the version of the configuration; 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.configuration.Version
}

// Label returns the operator's own number of the configuration; empty for a nil table.
func (t *Table) Label() string {
	if t == nil {
		return ""
	}
	return t.configuration.Label
}

// IdleTimeout returns how long a flow without packets is kept.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return DefaultIdleTimeout
	}
	return t.configuration.IdleTimeout
}

// HealthPath returns the path of the health check of a service's targets; empty when none is declared.
func (t *Table) HealthPath(service string) string {
	return t.Declared(service).HealthPath
}

// Declared returns the operators' declaration of a service; the zero value when there is none.
func (t *Table) Declared(service string) configuration.Service {
	if t == nil || t.services[service] == nil {
		return configuration.Service{}
	}
	return *t.services[service]
}

// Regions returns the regions that flows of a route to one of its services may reach. A nil route allows all.
func (t *Table) Regions(r *configuration.Route, service string) Regions {
	if r == nil {
		return Regions{}
	}
	return Regions{route: r.Regions, service: t.Declared(service).Regions}
}

// Regions restricts flows to the regions that both the route and the service allow. The zero value allows all.
type Regions struct {
	route, service []string
}

// Allow reports whether both the route and the service allow a region.
func (a Regions) Allow(region string) bool {
	return allowsRegion(a.route, region) && allowsRegion(a.service, region)
}

// allowsRegion reports whether a list contains a region; an empty list allows all.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Routes returns all routes, unordered; none for a nil table.
func (t *Table) Routes() []configuration.Route {
	if t == nil {
		return nil
	}
	return t.configuration.Routes
}

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

// Service selects one of a route's services by weight for the new flow with the given hash. The selection is
// deterministic. It returns "" when the route has no share with a weight.
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
