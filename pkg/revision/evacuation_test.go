package revision

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

func TestEvacuationMakesRevision(t *testing.T) {
	in := Inputs{Services: manyServices(3)}
	first := Compile(resource.Revision{}, in)
	in.Evacuated = []string{"marka"}
	second := Compile(first.Revision, in)
	require.True(t, second.Changed)
	require.Equal(t, first.Revision.Number+1, second.Revision.Number)
	for _, c := range second.Revision.Services {
		require.Equal(t, []string{"marka"}, c.Spec.Evacuated)
	}
	require.False(t, Compile(second.Revision, in).Changed)
	in.Evacuated = nil
	third := Compile(second.Revision, in)
	require.True(t, third.Changed, "withdrawing an evacuation makes a later revision")
	require.Empty(t, third.Revision.Services[0].Spec.Evacuated)
}
