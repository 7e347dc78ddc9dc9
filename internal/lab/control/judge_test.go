package control

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// scenario is a small run without violations: two services, one change of the first, and a claim of its address that is
// rejected.
type scenario struct {
	truth    *truth
	changes  []*change
	balancer *balancer
}

func at(i int) time.Time { return time.Unix(1000, 0).Add(time.Duration(i) * 100 * time.Millisecond) }

func configOf(s resource.Service, version uint64) resource.ServiceConfig {
	return resource.ServiceConfig{Name: s.Name, Version: version, Spec: s.Spec}
}

func headOf(i int, number uint64, services ...resource.ServiceConfig) headWrite {
	r := resource.Revision{Number: number, Services: services}
	return headWrite{began: at(i), done: at(i), head: resource.Head{Revision: number, Term: 1}, revision: r, sum: sumOfRevision(r)}
}

func statusOf(i int, name string, version uint64, c resource.Condition) statusWrite {
	s := resource.ServiceStatus{Name: name, ObservedVersion: version}
	s.SetCondition(c)
	return statusWrite{at: at(i), status: s}
}

func accepted() resource.Condition {
	return resource.Condition{Type: resource.ConditionAccepted, Status: resource.StatusTrue, Reason: resource.ReasonAccepted}
}

func refused(reason resource.ConditionReason, message string) resource.Condition {
	return resource.Condition{Type: resource.ConditionAccepted, Status: resource.StatusFalse, Reason: reason, Message: message}
}

const trueConflict = `spec.addresses[0]: 198.51.100.1:80/tcp belongs to service "svc-00" (version 4)`

func newScenario() *scenario {
	first, other := newService("svc-00", 1, serviceIP(0)), newService("svc-01", 2, serviceIP(1))
	changed, claim := newService("svc-00", 3, serviceIP(0)), newService("svc-02", 4, serviceIP(0))
	t := newTruth(1)
	for i, s := range []resource.Service{first, other, changed, claim} {
		t.services = append(t.services, serviceWrite{at: at(i), version: uint64(i + 2), change: s.Spec.Limits.Queue, service: s})
	}
	before := headOf(2, 1, configOf(first, 2), configOf(other, 3))
	after := headOf(5, 2, configOf(changed, 4), configOf(other, 3))
	t.heads = []headWrite{before, after}
	t.statuses = []statusWrite{
		statusOf(6, "svc-00", 4, accepted()),
		statusOf(6, "svc-02", 5, refused(resource.ReasonAddressConflict, trueConflict)),
	}
	success := callOutcome{result: ctl.ApplyResult{Action: ctl.ActionConfigured}, stored: true}
	b := &balancer{name: "balancer-001", adoptions: []adoption{{at(3), 1, before.sum}, {at(7), 2, after.sum}}}
	return &scenario{truth: t, balancer: b, changes: []*change{
		{number: 3, service: changed, calls: []callOutcome{success}},
		{number: 4, kind: changeClaim, service: claim, calls: []callOutcome{success}},
	}}
}

func (s *scenario) judge() Result {
	var r Result
	c := &cluster{truth: s.truth, balancers: []*balancer{s.balancer}}
	newJudge(c, s.changes, nil, &r).run()
	r.checkLimits()
	return r
}

func TestJudgeAcceptsCorrectRun(t *testing.T) {
	r := newScenario().judge()
	require.Empty(t, r.Broken)
	require.Equal(t, 1, r.Accepted)
	require.Equal(t, 1, r.Rejected)
	require.Equal(t, []time.Duration{200 * time.Millisecond}, r.InForce)
	require.Equal(t, []time.Duration{300 * time.Millisecond}, r.Judged)
}

// TestJudgeDetectsViolations guards against checks that cannot fail: each case violates one guarantee.
func TestJudgeDetectsViolations(t *testing.T) {
	for _, c := range []struct {
		name, want string
		corrupt    func(s *scenario)
	}{
		{"a change that isn't in force", "isn't in force on balancer-001", func(s *scenario) {
			s.balancer.adoptions = s.balancer.adoptions[:1]
		}},
		{"a balancer that goes back", "goes back from revision 2 to 1", func(s *scenario) {
			s.balancer.adoptions = append(s.balancer.adoptions, adoption{at(9), 1, s.truth.heads[0].sum})
		}},
		{"a balancer with other content", "linearizable", func(s *scenario) { s.balancer.adoptions[1].sum++ }},
		{"a service that goes back", "back from version 4 to 2", func(s *scenario) {
			s.truth.heads = append(s.truth.heads, headOf(8, 3, s.truth.heads[0].revision.Services...))
		}},
		{"a service that is missing later", "lacks svc-00", func(s *scenario) {
			s.truth.heads = append(s.truth.heads, headOf(8, 3, s.truth.heads[1].revision.Services[1]))
		}},
		{"a change without a status", "neither accepted nor rejected", func(s *scenario) { s.truth.statuses = s.truth.statuses[:1] }},
		{"an invalid change in force", "is invalid, but revision 2", func(s *scenario) { s.changes[0].kind = changeInvalid }},
		{"a late change", "more than 1s", func(s *scenario) { s.balancer.adoptions[1].at = at(20) }},
		{"a false address conflict", "isn't true", func(s *scenario) {
			s.truth.statuses[1] = statusOf(6, "svc-02", 5, refused(resource.ReasonAddressConflict, strings.ReplaceAll(trueConflict, "svc-00", "svc-01")))
		}},
		{"a false validation error", "isn't true", func(s *scenario) {
			s.truth.statuses[1] = statusOf(6, "svc-02", 5, refused(resource.ReasonInvalid, "spec.mode: is wrong"))
		}},
		{"a false acceptance", "no head named it", func(s *scenario) {
			s.truth.statuses = append(s.truth.statuses, statusOf(6, "svc-02", 5, accepted()))
		}},
		{"a false count in force", "didn't use it", func(s *scenario) {
			s.truth.statuses[0].status.AcceptedRevision = 2
			s.truth.statuses[0].status.InForce = resource.InForce{Adopted: 1, Known: 1}
		}},
		{"a success reported for a change that isn't stored", "but it isn't stored", func(s *scenario) { s.changes[0].calls[0].stored = false }},
		{"a conflict reported for a stored change", "but it is stored", func(s *scenario) {
			s.changes[0].calls[0].err = objectapi.ErrConflict
			s.changes[0].calls[0].result.Action = ctl.ActionConflict
		}},
		{"two holders", "had claimed it", func(s *scenario) { s.truth.late = []string{"head written by a after b had claimed it"} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario()
			c.corrupt(s)
			require.Contains(t, strings.Join(s.judge().Broken, "\n"), c.want)
		})
	}
}

func TestRefusedCallerWithoutRecordIsMissing(t *testing.T) {
	caller := netip.MustParseAddrPort("10.100.0.1:5000")
	c := &cluster{truth: newTruth(1), callers: &callers{refused: map[netip.AddrPort]time.Time{caller: at(1)}}}
	require.Equal(t, []netip.AddrPort{caller}, c.missingRecords())
}
