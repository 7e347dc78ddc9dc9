package resource

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// example returns the text of a file of docs/examples.
func example(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", name))
	require.NoError(t, err)
	return b
}

func texts(list []FieldError) []string {
	var out []string
	for _, f := range list {
		out = append(out, f.String())
	}
	return out
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"service.json", "rollout.json"} {
		s, mistakes := DecodeService(example(t, name))
		require.Empty(t, mistakes)
		b, err := Encode(s)
		require.NoError(t, err)
		var again Service
		require.NoError(t, Decode(b, &again))
		require.Equal(t, s, again)
	}
}

func TestEmptyServiceNamesEveryRequiredField(t *testing.T) {
	require.Equal(t, []string{
		"name: is required",
		"spec.addresses: at least one address is required",
		`spec.mode: is required, "stream" or "request"`,
		`spec.preference: is required, "flows" or "balance"`,
	}, texts(ValidateService(Service{})))
}

func TestValidateServiceFindsEachMistake(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Service)
		want   string
	}{
		{"name", func(s *Service) { s.Name = "Route" }, `name: "Route" is not a DNS label`},
		{"name length", func(s *Service) { s.Name = strings.Repeat("a", 64) }, "name: "},
		{"name hyphen", func(s *Service) { s.Name = "a-" }, "name: "},
		{"name end of line", func(s *Service) { s.Name = "a\n" }, "name: "},
		{"ip", func(s *Service) { s.Spec.Addresses[0].IP = "10.0.0" }, `spec.addresses[0].ip: "10.0.0" is not an IPv4 or IPv6 address`},
		{"ip missing", func(s *Service) { s.Spec.Addresses[0].IP = "" }, "spec.addresses[0].ip: is required"},
		{"ip zone", func(s *Service) { s.Spec.Addresses[0].IP = "fe80::1%eth0" }, "has a zone"},
		{"ip unspecified", func(s *Service) { s.Spec.Addresses[0].IP = "::" }, "is not a unicast address"},
		{"ip multicast", func(s *Service) { s.Spec.Addresses[0].IP = "224.0.0.1" }, "is not a unicast address"},
		{"port", func(s *Service) { s.Spec.Addresses[0].Port = 0 }, "spec.addresses[0].port: is required"},
		{"protocol", func(s *Service) { s.Spec.Addresses[0].Protocol = "sctp" }, `spec.addresses[0].protocol: "sctp"`},
		{"udp request", func(s *Service) { s.Spec.Mode, s.Spec.Addresses[0].Protocol = ModeRequest, ProtocolUDP }, "udp needs mode"},
		{"same address", func(s *Service) {
			s.Spec.Addresses = append(s.Spec.Addresses, Address{IP: "::ffff:10.0.0.1", Port: 80, Protocol: ProtocolTCP})
		}, "spec.addresses[1]: 10.0.0.1:80/tcp is the same address as spec.addresses[0]"},
		{"addresses", func(s *Service) { s.Spec.Addresses = make([]Address, MaxAddresses+1) }, "spec.addresses: 257"},
		{"mode", func(s *Service) { s.Spec.Mode = "tcp" }, `spec.mode: "tcp"`},
		{"targets", func(s *Service) { s.Spec.Targets = "a.b" }, "spec.targets: "},
		{"preference", func(s *Service) { s.Spec.Preference = "both" }, `spec.preference: "both"`},
		{"share version", func(s *Service) { s.Spec.Shares = []Share{{Version: "a b", Weight: 1}} }, "spec.shares[0].version: "},
		{"share twice", func(s *Service) { s.Spec.Shares = []Share{{"a", 1}, {"a", 1}} }, "spec.shares[1].version: \"a\" is the same"},
		{"share weight", func(s *Service) { s.Spec.Shares = []Share{{"a", MaxWeight + 1}} }, "spec.shares[0].weight: "},
		{"share sum", func(s *Service) { s.Spec.Shares = []Share{{"a", 0}} }, "spec.shares: the sum"},
		{"version length", func(s *Service) { s.Spec.Shares = []Share{{strings.Repeat("v", 129), 1}} }, "has 129 bytes"},
		{"proxy", func(s *Service) { s.Spec.Mode, s.Spec.ProxyProtocol = ModeRequest, true }, "spec.proxyProtocol: needs mode"},
		{"slots", func(s *Service) { s.Spec.Limits.Slots = MaxSlots + 1 }, "spec.limits.slots: "},
		{"deadline", func(s *Service) { s.Spec.Limits.Deadline = -1 }, "spec.limits.deadline: -1ns is negative"},
		{"drain time", func(s *Service) { s.Spec.DrainTime = Duration(25 * time.Hour) }, "spec.drainTime: 25h0m0s is longer"},
		{"rollout and shares", func(s *Service) { s.Spec.Rollout, s.Spec.Shares = rollout(), []Share{{"a", 1}} }, "spec.rollout: excludes"},
		{"rollout same", func(s *Service) { s.Spec.Rollout = rollout(); s.Spec.Rollout.To = "a" }, "spec.rollout.to: "},
		{"no steps", func(s *Service) { s.Spec.Rollout = rollout(); s.Spec.Rollout.Steps = nil }, "spec.rollout.steps: at least"},
		{"last step", func(s *Service) { s.Spec.Rollout = rollout(100, 50); s.Spec.Rollout.Steps = s.Spec.Rollout.Steps[1:] }, "50 is not 100"},
		{"descending", func(s *Service) { s.Spec.Rollout = rollout(50, 50, 100) }, "spec.rollout.steps[1].weight: 50 does not exceed"},
		{"step weight", func(s *Service) { s.Spec.Rollout = rollout(100, 101) }, "spec.rollout.steps[1].weight: 101 is outside"},
		{"window", func(s *Service) { s.Spec.Rollout = rollout(); s.Spec.Rollout.Steps[0].Window = 0 }, "spec.rollout.steps[0].window: "},
		{"objective", func(s *Service) { s.Spec.Rollout = rollout(); s.Spec.Rollout.Objective = 1 }, "spec.rollout.objective: 1 is outside"},
		{"burn ratio", func(s *Service) { s.Spec.Rollout = rollout(); s.Spec.Rollout.MaxBurnRatio = 0.9 }, "spec.rollout.maxBurnRatio: 0.9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := service("route", 1, "10.0.0.1").Service
			require.NoError(t, CheckService(s))
			c.change(&s)
			require.ErrorContains(t, CheckService(s), c.want)
		})
	}
}

// rollout returns a valid rollout with steps of the given weights, by default 10 and 100.
func rollout(weights ...uint32) *Rollout {
	if len(weights) == 0 {
		weights = []uint32{10, 100}
	}
	r := &Rollout{From: "a", To: "b", Objective: 0.999, MaxBurnRatio: 2}
	for _, w := range weights {
		r.Steps = append(r.Steps, RolloutStep{Weight: w, Window: Duration(time.Minute)})
	}
	return r
}

func TestDecodeServiceReportsEveryMistake(t *testing.T) {
	_, mistakes := DecodeService([]byte(`{"Name": "x", "name": 3, "spec": {
		"addresses": [{"ip": "10.0.0.1", "port": 70000, "prot": "tcp"}, 5],
		"mode": "stream", "preference": null, "limits": [], "drainTime": 10, "slowStart": "soon",
		"proxyProtocol": "yes", "rollout": {"from": "a", "steps": {}}}}`))
	require.Equal(t, []string{
		"Name: is not a known field",
		"name: must be text, not 3",
		"spec.addresses[0].port: must be a whole number from 0 to 65535, not 70000",
		"spec.addresses[0].prot: is not a known field",
		"spec.addresses[1]: must be an object, not 5",
		`spec.drainTime: must be text such as "30s"`,
		"spec.limits: must be an object, not a list",
		"spec.preference: is null",
		`spec.proxyProtocol: must be true or false, not "yes"`,
		"spec.rollout.steps: must be a list, not an object",
		`spec.slowStart: "soon" is not a duration such as "30s"`,
		"spec.rollout.to: is required",
		"spec.rollout.objective: 0 is outside 0 to 1, both excluded",
		"spec.rollout.maxBurnRatio: 0 is not a number of 1 or more",
	}, texts(mistakes))
	_, mistakes = DecodeService([]byte("{\n\"name\": }"))
	require.Contains(t, texts(mistakes)[0], "line 2")
}

func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	for in, want := range map[string]string{
		"":                       "ends before",
		`{"revision":1} x`:       "text after",
		`{"revision":1}{}`:       "text after",
		`{"revisions":1}`:        "unknown field",
		`{"revision":"1"}`:       `field "revision"`,
		"{\n\"revision\":\n1,,}": "line 3",
	} {
		var h Head
		require.ErrorContains(t, Decode([]byte(in), &h), want, in)
	}
}

func TestReadServiceReportsUnreadableValues(t *testing.T) {
	s := ReadService(objectapi.Object{Name: "a", Version: 3, Value: []byte(`{"name":"b"}`)})
	require.Equal(t, VersionedService{Service: Service{Name: "a"}, Version: 3, Unreadable: "the service's name is b but its object's name is a"}, s)
	s = ReadService(objectapi.Object{Name: "a", Value: []byte(`{"nam":"b"}`)})
	require.Contains(t, s.Unreadable, "nam: is not a known field")
}

func TestSetConditionKeepsTimeOfUnchangedStatus(t *testing.T) {
	var s ServiceStatus
	t0 := time.Unix(100, 0)
	s.SetCondition(Condition{Type: ConditionAccepted, Status: StatusTrue, Time: t0})
	s.SetCondition(Condition{Type: ConditionAccepted, Status: StatusTrue, Reason: ReasonAccepted, Time: t0.Add(1)})
	c, ok := s.Condition(ConditionAccepted)
	require.True(t, ok)
	require.Equal(t, Condition{Type: ConditionAccepted, Status: StatusTrue, Reason: ReasonAccepted, Time: t0}, c)
	s.SetCondition(Condition{Type: ConditionAccepted, Status: StatusFalse, Time: t0.Add(2)})
	require.Equal(t, t0.Add(2), s.Conditions[0].Time)
	require.Len(t, s.Conditions, 1)
}

func FuzzDecodeService(f *testing.F) {
	f.Add(example(f, "service.json"))
	f.Add(example(f, "rollout.json"))
	f.Add([]byte(`{"spec":{"addresses":[null],"rollout":null}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, mistakes := DecodeService(b)
		if len(mistakes) > 0 {
			return
		}
		// Every accepted service must be readable by the strict decoder and remain valid after a round trip.
		out, err := json.Marshal(s)
		require.NoError(t, err)
		read := ReadService(objectapi.Object{Name: s.Name, Value: out})
		require.Empty(t, read.Unreadable)
		require.Empty(t, ValidateService(read.Service))
	})
}
