package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Route is an address with a service to which it leads or led.
type Route struct {
	Address netip.AddrPort
	Service string
}

// SetRoutes notes the routes of the configuration in force. Flows of before may be open at services to which their address
// no longer leads.
func (d *Directory) SetRoutes(now time.Time, configuration uint64, routes []Route) {
	next := make(map[Route]bool, len(routes))
	for _, r := range routes {
		next[r] = true
	}
	for r := range d.routes {
		if !next[r] {
			d.formerRoutes[r] = now.Add(MaxFlowAge)
		}
	}
	d.routes, d.configuration = next, configuration
	d.firstConfiguration = cmp.Or(d.firstConfiguration, configuration)
	d.revision++
}

// RoutesKnown reports whether every route is known under which an open flow may have begun, up to the configuration in
// force: the process has seen all changes since the flow began, or has loaded those of before from a snapshot that is not
// older than its first configuration. A configuration that was replaced before it reached this process is not known.
func (d *Directory) RoutesKnown(now time.Time) bool {
	if d.first || now.Sub(d.started) > MaxFlowAge {
		return true
	}
	return d.firstConfiguration != 0 && d.loadedConfiguration >= d.firstConfiguration
}

// Configuration returns the version of the configuration up to which Routes returns every route, 0 when it may not.
func (d *Directory) Configuration(now time.Time) uint64 {
	if !d.RoutesKnown(now) {
		return 0
	}
	return d.configuration
}

// FormerServices returns the services to which an address led while flows that may be open began.
func (d *Directory) FormerServices(address netip.AddrPort) []string {
	var out []string
	for r := range d.formerRoutes {
		if r.Address == address {
			out = append(out, r.Service)
		}
	}
	return out
}

// Routes returns the addresses that lead to each service, or led while flows that may be open began, in their order.
func (d *Directory) Routes() map[string][]netip.AddrPort {
	out := make(map[string][]netip.AddrPort)
	for r := range d.routes {
		out[r.Service] = append(out[r.Service], r.Address)
	}
	for r := range d.formerRoutes {
		if !d.routes[r] {
			out[r.Service] = append(out[r.Service], r.Address)
		}
	}
	for _, addresses := range out {
		slices.SortFunc(addresses, netip.AddrPort.Compare)
	}
	return out
}

// loadRoutes adds the routes of a snapshot as former ones, as if they had been changed now. Whether they are in force does
// not matter.
func (d *Directory) loadRoutes(now time.Time, routes map[string][]netip.AddrPort) {
	for service, addresses := range routes {
		for _, a := range addresses {
			r := Route{Address: a, Service: service}
			if _, known := d.formerRoutes[r]; known {
				continue
			}
			d.formerRoutes[r] = now.Add(MaxFlowAge)
			d.revision++
		}
	}
}
