package resource

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// service returns a valid service at port 80 of the IP addresses.
func service(name string, version uint64, ips ...string) VersionedService {
	s := Service{Name: name, Spec: ServiceSpec{Mode: ModeStream, Preference: PreferFlows}}
	for _, ip := range ips {
		s.Spec.Addresses = append(s.Spec.Addresses, Address{IP: ip, Port: 80})
	}
	return VersionedService{Service: s, Version: version}
}

// inForce returns the configuration of a service as it is when in force.
func inForce(s VersionedService) ServiceConfig {
	return ServiceConfig{Name: s.Name, Version: s.Version, Spec: s.Spec}
}

// summary describes an outcome: configurations as "name@version", rejected services as "name@version mistakes".
func summary(o Outcome) (services, rejected []string) {
	for _, c := range o.Services {
		services = append(services, fmt.Sprintf("%s@%d", c.Name, c.Version))
	}
	for _, r := range o.Rejected {
		rejected = append(rejected, fmt.Sprintf("%s@%d %s", r.Service.Name, r.Service.Version, JoinFieldErrors(r.Fields)))
	}
	return services, rejected
}

func TestValidateAll(t *testing.T) {
	const belongs = "10.0.0.%d:80/tcp belongs to service %q (version %d)"
	broken := service("a", 9, "10.0.0.1")
	broken.Spec.Mode = ""
	for _, c := range []struct {
		name               string
		list               []VersionedService
		inForce            []ServiceConfig
		services, rejected []string
	}{
		{name: "nothing"},
		{
			name:     "the lower version gets a free address",
			list:     []VersionedService{service("a", 5, "10.0.0.1"), service("b", 4, "10.0.0.1")},
			services: []string{"b@4"},
			rejected: []string{"a@5 spec.addresses[0]: " + fmt.Sprintf(belongs, 1, "b", 4)},
		},
		{
			name:     "two spellings of one address conflict",
			list:     []VersionedService{service("a", 1, "10.0.0.1"), service("b", 2, "::ffff:10.0.0.1")},
			services: []string{"a@1"},
			rejected: []string{"b@2 spec.addresses[0]: " + fmt.Sprintf(belongs, 1, "a", 1)},
		},
		{
			name:     "the holder keeps its address when it changes",
			list:     []VersionedService{service("a", 20, "10.0.0.1"), service("b", 10, "10.0.0.1")},
			inForce:  []ServiceConfig{inForce(service("a", 5, "10.0.0.1"))},
			services: []string{"a@20"},
			rejected: []string{"b@10 spec.addresses[0]: " + fmt.Sprintf(belongs, 1, "a", 20)},
		},
		{
			name:     "a rejected change leaves the configuration in force and its address",
			list:     []VersionedService{broken, service("b", 10, "10.0.0.1")},
			inForce:  []ServiceConfig{inForce(service("a", 5, "10.0.0.1"))},
			services: []string{"a@5"},
			rejected: []string{
				`a@9 spec.mode: is required, "stream" or "request"`,
				"b@10 spec.addresses[0]: " + fmt.Sprintf(belongs, 1, "a", 5),
			},
		},
		{
			name:     "a released address goes to the pending service with the lowest version",
			list:     []VersionedService{service("a", 9, "10.0.0.2"), service("b", 3, "10.0.0.1"), service("c", 10, "10.0.0.1")},
			inForce:  []ServiceConfig{inForce(service("a", 1, "10.0.0.1"))},
			services: []string{"a@9", "b@3"},
			rejected: []string{"c@10 spec.addresses[0]: " + fmt.Sprintf(belongs, 1, "b", 3)},
		},
		{
			name:     "a deleted service holds nothing",
			list:     []VersionedService{service("b", 3, "10.0.0.1")},
			inForce:  []ServiceConfig{inForce(service("a", 1, "10.0.0.1"))},
			services: []string{"b@3"},
		},
		{
			name:     "an unreadable service leaves the configuration in force",
			list:     []VersionedService{{Service: Service{Name: "a"}, Version: 7, Unreadable: "not JSON"}},
			inForce:  []ServiceConfig{inForce(service("a", 1, "10.0.0.1"))},
			services: []string{"a@1"},
			rejected: []string{"a@7 not JSON"},
		},
		{
			name:     "two services cannot swap addresses in one step",
			list:     []VersionedService{service("a", 7, "10.0.0.2"), service("b", 8, "10.0.0.1")},
			inForce:  []ServiceConfig{inForce(service("a", 1, "10.0.0.1")), inForce(service("b", 2, "10.0.0.2"))},
			services: []string{"a@1", "b@2"},
			rejected: []string{
				"a@7 spec.addresses[0]: " + fmt.Sprintf(belongs, 2, "b", 2),
				"b@8 spec.addresses[0]: " + fmt.Sprintf(belongs, 1, "a", 1),
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			services, rejected := summary(ValidateAll(c.list, c.inForce))
			require.Equal(t, c.services, services)
			require.Equal(t, c.rejected, rejected)
		})
	}
}

func TestValidateAllDoesNotFreeAnAddressOfAnotherHolder(t *testing.T) {
	// Two services in force with the same address are a fault; the one that does not hold the address must not free it.
	list := []VersionedService{service("a", 1, "10.0.0.1"), service("b", 9, "10.0.0.2"), service("c", 10, "10.0.0.1")}
	current := []ServiceConfig{inForce(service("a", 1, "10.0.0.1")), inForce(service("b", 2, "10.0.0.1"))}
	services, _ := summary(ValidateAll(list, current))
	require.Equal(t, []string{"a@1", "b@9"}, services)
}

// TestValidateAllProperties applies random changes and checks that no address has two holders, that no service in force
// disappears while it exists, that no rejected version is put in force, that the order of the input does not matter and
// that a second call changes nothing.
func TestValidateAllProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current []ServiceConfig
		version := uint64(0)
		stored := map[string]VersionedService{}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				version++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
				if rapid.IntRange(0, 5).Draw(t, "delete") == 0 {
					delete(stored, name)
					continue
				}
				ips := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}), 0, 3, rapid.ID[string]).Draw(t, "ips")
				stored[name] = service(name, version, ips...)
			}
			current = checkRound(t, stored, current)
		}
	})
}

// checkRound checks one call of ValidateAll and returns the configurations in force after it.
func checkRound(t *rapid.T, stored map[string]VersionedService, current []ServiceConfig) []ServiceConfig {
	var list []VersionedService
	for _, s := range stored {
		list = append(list, s)
	}
	o := ValidateAll(list, current)
	holders := map[AddressKey]string{}
	after := map[string]uint64{}
	for _, c := range o.Services {
		after[c.Name] = c.Version
		for _, a := range c.Spec.Addresses {
			k, _ := a.Key()
			require.Empty(t, holders[k], "%s has two holders", k)
			holders[k] = c.Name
		}
	}
	for _, c := range current {
		if _, exists := stored[c.Name]; exists {
			require.GreaterOrEqual(t, after[c.Name], c.Version, c.Name)
		}
	}
	for _, r := range o.Rejected {
		require.NotEmpty(t, r.Fields)
		require.NotEqual(t, r.Service.Version, after[r.Service.Name])
	}
	if len(list) > 0 {
		list = rapid.Permutation(list).Draw(t, "order")
	}
	slices.Reverse(current)
	require.Equal(t, o, ValidateAll(list, current))
	require.Equal(t, o.Services, ValidateAll(list, o.Services).Services)
	return o.Services
}
