package control

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// changeKind says what a change is meant to be.
type changeKind uint8

const (
	// changeValid has no mistake and claims no other service's address.
	changeValid changeKind = iota
	// changeInvalid has a mistake in spec.mode.
	changeInvalid
	// changeClaim also claims the address of another service.
	changeClaim
	// changeRace is a change that another operator races: of the same service, or of a new one that claims the same
	// address.
	changeRace
)

// String returns the kind's name.
func (k changeKind) String() string {
	return [...]string{"valid", "invalid", "claim", "race"}[k]
}

// change is one change that an operator made, and what the operator was told. Its number is kept in the service's
// specification as limits.queue.
type change struct {
	number  uint32
	kind    changeKind
	service resource.Service
	// calls are the outcomes of the calls, the last one last.
	calls []callOutcome
}

// callOutcome is what one call of ctl.Applier said.
type callOutcome struct {
	result ctl.ApplyResult
	err    error
	// stored says whether the change was in the store when the call returned.
	stored bool
}

func serviceName(i int) string { return fmt.Sprintf("svc-%02d", i) }

// serviceIP returns the address of a service of the start.
func serviceIP(i int) string { return netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}).String() }

// raceIP returns the address that two new services claim at once.
func raceIP(n uint32) string {
	return netip.AddrFrom4([4]byte{192, 0, byte(2 + n>>8), byte(n)}).String()
}

const (
	servicePort = 80
	wrongMode   = "datagram"
)

func newService(name string, number uint32, ips ...string) resource.Service {
	s := resource.Service{Name: name, Spec: resource.ServiceSpec{
		Mode:       resource.ModeStream,
		Preference: resource.PreferFlows,
		Limits:     resource.Limits{Queue: number},
		DrainTime:  resource.Duration(time.Minute + time.Duration(number)*time.Second),
	}}
	for _, ip := range ips {
		s.Spec.Addresses = append(s.Spec.Addresses, resource.Address{IP: ip, Port: servicePort, Protocol: resource.ProtocolTCP})
	}
	return s
}
