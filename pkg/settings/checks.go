package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// dnsLabel matches a DNS label in lower case (RFC 1123).
var dnsLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// required checks that a key is not empty and reports whether it is given.
func (m *mistakes) required(key, v string) bool {
	if v == "" {
		m.add(key, "is required")
		return false
	}
	return true
}

func (m *mistakes) label(key, v string) {
	if m.required(key, v) && !dnsLabel.MatchString(v) {
		m.add(key, "%q is not a DNS label (lower-case letters, digits and hyphens, at most 63)", v)
	}
}

// bind checks an address to listen on; port 0 lets the kernel choose a free port.
func (m *mistakes) bind(key, v string) {
	if m.required(key, v) {
		m.addrPort(key, v)
	}
}

// optionalBind checks an address to listen on that may be empty.
func (m *mistakes) optionalBind(key, v string) {
	if v != "" {
		m.addrPort(key, v)
	}
}

// addrPort parses an IP address and port; it returns the zero AddrPort when they are invalid.
func (m *mistakes) addrPort(key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		m.add(key, "%q is not an IP address and port such as \"127.0.0.1:7001\" or \"[::1]:7001\"", v)
		return netip.AddrPort{}
	}
	return a
}

// peer checks a destination address: a specified IP address and a port other than 0.
func (m *mistakes) peer(key, v string) {
	if !m.required(key, v) {
		return
	}
	a := m.addrPort(key, v)
	if !a.IsValid() {
		return
	}
	if a.Port() == 0 {
		m.add(key, "%q has port 0, to which nothing can be sent", v)
	}
	if a.Addr().IsUnspecified() {
		m.add(key, "%q is the unspecified address, to which nothing can be sent", v)
	}
}

// url checks an absolute http or https URL without query and fragment.
func (m *mistakes) url(key, v string) {
	if !m.required(key, v) {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		m.add(key, "%q is not a URL such as \"http://127.0.0.1:8080\"", v)
		return
	}
	if u.RawQuery != "" || u.Fragment != "" {
		m.add(key, "%q has a query or fragment", v)
	}
}

func (m *mistakes) oneOf(key, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		m.add(key, "%q is none of %s", v, strings.Join(allowed, ", "))
	}
}

// within checks that v is from low to high, both included.
func (m *mistakes) within(key string, v, low, high int) {
	if v < low || v > high {
		m.add(key, "%d is outside %d to %d", v, low, high)
	}
}

// positive checks that v is above 0 and at most high, both in the given unit. NaN fails.
func (m *mistakes) positive(key string, v, high float64, unit string) {
	if !(v > 0 && v <= high) {
		m.add(key, "%g is outside 0 (excluded) to %g %s", v, high, unit)
	}
}

// duration checks that v is from low to high, both included.
func (m *mistakes) duration(key string, v Duration, low, high time.Duration) {
	if d := v.Duration(); d < low || d > high {
		m.add(key, "%s is outside %s to %s", d, low, high)
	}
}
