package control

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// changeKind is the kind of change that an operator intends.
type changeKind uint8

const (
	// changeValid is valid and claims no other service's address.
	changeValid changeKind = iota
	// changeInvalid has an invalid spec.mode.
	changeInvalid
	// changeClaim also claims the address of another service.
	changeClaim
	// changeRace is made concurrently with another operator's: of the same service, or of a new one that claims the
	// same address.
	changeRace
)

func (k changeKind) String() string {
	return [...]string{"valid", "invalid", "claim", "race"}[k]
}

// change is one change that an operator made, with the results that the operator received. Its number is stored in the
// service's specification as limits.queue.
type change struct {
	number  uint32
	kind    changeKind
	service resource.Service
	// calls are the outcomes of the calls, oldest first.
	calls []callOutcome
}

// callOutcome is the result of one call of ctl.Applier.
type callOutcome struct {
	result ctl.ApplyResult
	err    error
	// stored reports whether the change was in the store when the call returned.
	stored bool
}

func serviceName(i int) string { return fmt.Sprintf("svc-%02d", i) }

// serviceIP returns the address of an initial service.
func serviceIP(i int) string { return netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}).String() }

// raceIP returns the address that two new services claim concurrently.
func raceIP(n uint32) string {
	return netip.AddrFrom4([4]byte{192, 0, byte(2 + n>>8), byte(n)}).String()
}

const (
	servicePort = 80
	invalidMode = "datagram"
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
