package lease_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/lease"
)

func TestFewCandidatesOfManyMembers(t *testing.T) {
	var members []string
	for i := range 490 {
		members = append(members, fmt.Sprintf("balancer-%d", i))
	}
	chosen := make(map[string][]string)
	for _, name := range []string{"compile", "rollout"} {
		for _, m := range members {
			if lease.Candidate(name, m, members, lease.DefaultCandidates) {
				chosen[name] = append(chosen[name], m)
			}
		}
		require.Len(t, chosen[name], lease.DefaultCandidates)
	}
	require.NotEqual(t, chosen["compile"], chosen["rollout"], "duties spread over the fleet")
	require.True(t, lease.Candidate("compile", "alone", nil, lease.DefaultCandidates))
}
