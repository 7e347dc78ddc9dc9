package balancerd

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

func fleet(n int) []membership.Member {
	var out []membership.Member
	for i := range n {
		out = append(out, membership.Member{
			ID: fmt.Sprint("balancer-", i), Role: membership.RoleBalancer, State: membership.StateActive,
		})
	}
	return out
}

func eligibleOf(duty string, all []membership.Member, match func(membership.Member) bool) []string {
	var out []string
	for _, m := range all {
		if eligible(duty, m.ID, all, match) {
			out = append(out, m.ID)
		}
	}
	return out
}

func anyMember(membership.Member) bool { return true }

func TestFewBalancersAreCandidates(t *testing.T) {
	require.Len(t, eligibleOf("compile", fleet(490), anyMember), maxCandidates)
	require.Len(t, eligibleOf("compile", fleet(2), anyMember), 2)
}

func TestDeadCandidatesAreReplaced(t *testing.T) {
	all := fleet(10)
	before := eligibleOf("compile", all, anyMember)
	for i := range all {
		if all[i].ID == before[0] {
			all[i].State = membership.StateDead
		}
	}
	after := eligibleOf("compile", all, anyMember)
	require.Len(t, after, maxCandidates)
	require.NotContains(t, after, before[0])
	require.Subset(t, after, before[1:])
}

func TestMatchLimitsTheCandidates(t *testing.T) {
	all := fleet(10)
	all[4].DataCentre = "marka-hall"
	got := eligibleOf("members", all, func(m membership.Member) bool { return m.DataCentre == "marka-hall" })
	require.Equal(t, []string{all[4].ID}, got)
}
