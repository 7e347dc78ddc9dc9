package resource

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"
)

// Bounds of a service's fields.
const (
	// MaxAddresses is the maximum number of addresses of one service.
	MaxAddresses = 256
	// MaxShares is the maximum number of shares of one service.
	MaxShares = 64
	// MaxWeight is the maximum weight of a share.
	MaxWeight = 1_000_000
	// MaxRolloutSteps is the maximum number of steps of a rollout.
	MaxRolloutSteps = 100
	// MaxVersionLength is the maximum length of a version in bytes.
	MaxVersionLength = 128
	// MaxDuration is the maximum of every duration field.
	MaxDuration = 24 * time.Hour
	// MaxSlots, MaxConnections and MaxQueue bound the limits of one target.
	MaxSlots       = 1_000_000
	MaxConnections = 10_000_000
	MaxQueue       = 1_000_000
)

// finalWeight is the weight in percent of the last step of a rollout.
const finalWeight = 100

var (
	// dnsLabel matches a DNS label in lower case (RFC 1123).
	dnsLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	// versionText matches a version: printable characters that need no quoting in URLs, logs and headers.
	versionText = regexp.MustCompile(`^[A-Za-z0-9._+-]+$`)
)

// ValidateService returns every mistake of a service in the order of its fields, or nil when it is valid. It checks the
// service alone; ValidateAll detects conflicts with other services.
func ValidateService(s Service) []FieldError {
	var e fieldErrors
	e.name("name", s.Name)
	e.addresses("spec.addresses", s.Spec)
	e.mode("spec.mode", s.Spec)
	if s.Spec.Targets != "" {
		e.name("spec.targets", s.Spec.Targets)
	}
	e.shares("spec.shares", s.Spec.Shares)
	if len(s.Spec.Evacuated) > 0 {
		e.add("spec.evacuated", "is set by the system; evacuate a data centre by an object of kind %s", KindEvacuation)
	}
	e.preference("spec.preference", s.Spec.Preference)
	e.proxyProtocol("spec.proxyProtocol", s.Spec)
	e.limits("spec.limits", s.Spec)
	e.duration("spec.drainTime", s.Spec.DrainTime)
	e.duration("spec.slowStart", s.Spec.SlowStart)
	e.duration("spec.udpIdle", s.Spec.UDPIdle)
	e.rollout("spec.rollout", s.Spec)
	return e
}

// CheckService returns a *ValidationError with every mistake of a service, or nil.
func CheckService(s Service) error {
	list := ValidateService(s)
	if len(list) == 0 {
		return nil
	}
	return &ValidationError{Name: s.Name, Fields: list}
}

// name checks a DNS label.
func (e *fieldErrors) name(field, v string) {
	if v == "" {
		e.add(field, "is required")
		return
	}
	if !dnsLabel.MatchString(v) {
		e.add(field, "%q is not a DNS label (lower-case letters, digits and hyphens, at most 63)", v)
	}
}

// addresses checks the addresses and rejects duplicates.
func (e *fieldErrors) addresses(field string, s ServiceSpec) {
	if len(s.Addresses) == 0 {
		e.add(field, "at least one address is required")
	}
	if len(s.Addresses) > MaxAddresses {
		e.add(field, "%d addresses are more than %d", len(s.Addresses), MaxAddresses)
		return
	}
	seen := make(map[AddressKey]int, len(s.Addresses))
	for i, a := range s.Addresses {
		f := fmt.Sprintf("%s[%d]", field, i)
		e.address(f, a, s.Mode)
		k, ok := a.Key()
		if !ok {
			continue
		}
		if first, twice := seen[k]; twice {
			e.add(f, "%s is the same address as %s[%d]", k, field, first)
			continue
		}
		seen[k] = i
	}
}

func (e *fieldErrors) address(field string, a Address, m Mode) {
	e.ip(field+".ip", a.IP)
	if a.Port == 0 {
		e.add(field+".port", "is required, 1 to 65535")
	}
	switch a.Protocol {
	case "", ProtocolTCP:
	case ProtocolUDP:
		if m == ModeRequest {
			e.add(field+".protocol", "udp needs mode %q; mode %q takes tcp only", ModeStream, ModeRequest)
		}
	default:
		e.add(field+".protocol", "%q is neither %q nor %q", a.Protocol, ProtocolTCP, ProtocolUDP)
	}
}

// ip checks that v is a unicast IP address without a zone.
func (e *fieldErrors) ip(field, v string) {
	if v == "" {
		e.add(field, "is required")
		return
	}
	ip, err := netip.ParseAddr(v)
	if err != nil {
		e.add(field, "%q is not an IPv4 or IPv6 address", v)
		return
	}
	if ip.Zone() != "" {
		e.add(field, "%q has a zone; a service address has none", v)
	}
	if ip.IsUnspecified() || ip.IsMulticast() {
		e.add(field, "%q is not a unicast address", v)
	}
}

func (e *fieldErrors) mode(field string, s ServiceSpec) {
	switch s.Mode {
	case ModeStream, ModeRequest:
	case "":
		e.add(field, "is required, %q or %q", ModeStream, ModeRequest)
	default:
		e.add(field, "%q is neither %q nor %q", s.Mode, ModeStream, ModeRequest)
	}
}

func (e *fieldErrors) preference(field string, p Preference) {
	switch p {
	case PreferFlows, PreferBalance:
	case "":
		e.add(field, "is required, %q or %q", PreferFlows, PreferBalance)
	default:
		e.add(field, "%q is neither %q nor %q", p, PreferFlows, PreferBalance)
	}
}

func (e *fieldErrors) version(field, v string) {
	if v == "" {
		e.add(field, "is required")
		return
	}
	if len(v) > MaxVersionLength {
		e.add(field, "has %d bytes, more than %d", len(v), MaxVersionLength)
		return
	}
	if !versionText.MatchString(v) {
		e.add(field, "%q has characters other than letters, digits and ._+-", v)
	}
}

// shares checks the shares and rejects duplicate versions.
func (e *fieldErrors) shares(field string, list []Share) {
	if len(list) > MaxShares {
		e.add(field, "%d shares are more than %d", len(list), MaxShares)
		return
	}
	var sum uint64
	seen := make(map[string]int, len(list))
	for i, s := range list {
		f := fmt.Sprintf("%s[%d]", field, i)
		e.version(f+".version", s.Version)
		if s.Weight > MaxWeight {
			e.add(f+".weight", "%d is more than %d", s.Weight, MaxWeight)
		}
		if first, twice := seen[s.Version]; twice && s.Version != "" {
			e.add(f+".version", "%q is the same version as %s[%d]", s.Version, field, first)
		}
		seen[s.Version] = i
		sum += uint64(s.Weight)
	}
	if len(list) > 0 && sum == 0 {
		e.add(field, "the sum of the weights is 0, so no target takes a new flow")
	}
}

// proxyProtocol checks that the PROXY protocol is enabled only in stream mode.
func (e *fieldErrors) proxyProtocol(field string, s ServiceSpec) {
	if s.ProxyProtocol && s.Mode == ModeRequest {
		e.add(field, "needs mode %q", ModeStream)
	}
}

func (e *fieldErrors) limits(field string, s ServiceSpec) {
	l := s.Limits
	e.atMost(field+".slots", l.Slots, MaxSlots)
	e.atMost(field+".connections", l.Connections, MaxConnections)
	e.atMost(field+".queue", l.Queue, MaxQueue)
	e.duration(field+".deadline", l.Deadline)
}

func (e *fieldErrors) atMost(field string, v, high uint32) {
	if v > high {
		e.add(field, "%d is more than %d", v, high)
	}
}

// duration checks that a duration is from 0, which means the default, to MaxDuration.
func (e *fieldErrors) duration(field string, d Duration) {
	if d < 0 {
		e.add(field, "%s is negative", time.Duration(d))
	}
	if time.Duration(d) > MaxDuration {
		e.add(field, "%s is longer than %s", time.Duration(d), MaxDuration)
	}
}

func (e *fieldErrors) rollout(field string, s ServiceSpec) {
	r := s.Rollout
	if r == nil {
		return
	}
	if len(s.Shares) > 0 {
		e.add(field, "excludes spec.shares: a rollout sets the shares itself")
	}
	e.version(field+".from", r.From)
	e.version(field+".to", r.To)
	if r.From == r.To && r.From != "" {
		e.add(field+".to", "%q is the version that serves now", r.To)
	}
	e.steps(field+".steps", r.Steps)
	if !(r.Objective > 0 && r.Objective < 1) {
		e.add(field+".objective", "%g is outside 0 to 1, both excluded", r.Objective)
	}
	if !(r.MaxBurnRatio >= 1) || math.IsInf(r.MaxBurnRatio, 0) {
		e.add(field+".maxBurnRatio", "%g is not a number of 1 or more", r.MaxBurnRatio)
	}
}

// steps checks that the weights of a rollout increase and end at finalWeight.
func (e *fieldErrors) steps(field string, list []RolloutStep) {
	if len(list) == 0 {
		e.add(field, "at least one step is required")
		return
	}
	if len(list) > MaxRolloutSteps {
		e.add(field, "%d steps are more than %d", len(list), MaxRolloutSteps)
		return
	}
	var last uint32
	for i, s := range list {
		f := fmt.Sprintf("%s[%d]", field, i)
		e.step(f, s, last)
		last = s.Weight
	}
	if last != finalWeight {
		e.add(fmt.Sprintf("%s[%d].weight", field, len(list)-1), "%d is not %d, the weight of the last step", last, finalWeight)
	}
}

// step checks one step; before is the weight of the previous step.
func (e *fieldErrors) step(field string, s RolloutStep, before uint32) {
	if s.Weight == 0 || s.Weight > finalWeight {
		e.add(field+".weight", "%d is outside 1 to %d", s.Weight, finalWeight)
	}
	if s.Weight <= before {
		e.add(field+".weight", "%d does not exceed the step before it, %d", s.Weight, before)
	}
	if s.Window <= 0 {
		e.add(field+".window", "is required, more than 0s")
	}
	e.duration(field+".window", max(s.Window, 0))
}
