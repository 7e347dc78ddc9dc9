package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func TestEvacuateAndRestoreDataCentre(t *testing.T) {
	d := newHarness(t)
	require.Contains(t, d.run(ExitOK, "evacuate", "--reason", "power work", "marka-hall", "zarqa-hall"), "marka-hall is evacuated")
	require.Contains(t, d.run(ExitOK, "evacuate", "marka-hall"), "before")
	out := d.run(ExitOK, "-o", "json", "get", "evacuations")
	require.Contains(t, out, "power work")
	require.Contains(t, out, "zarqa-hall")
	require.Contains(t, d.run(ExitOK, "restore", "marka-hall"), "used again")
	require.Contains(t, d.run(ExitOK, "restore", "marka-hall"), "not evacuated")
	list, _, err := d.store.List(t.Context(), resource.KindEvacuation)
	require.NoError(t, err)
	require.Len(t, list, 1)
	d.run(ExitUsage, "evacuate")
	d.run(ExitUsage, "restore")
}

// Declaring and withdrawing an evacuation succeed after a lost answer.
func TestEvacuationIsIdempotentWhenAnAnswerIsLost(t *testing.T) {
	d := newHarness(t)
	d.store.SetFaults(store.Faults{LoseNext: 1})
	d.run(ExitOK, "evacuate", "marka-hall")
	list, _, err := d.store.List(t.Context(), resource.KindEvacuation)
	require.NoError(t, err)
	require.Len(t, list, 1)
	d.store.SetFaults(store.Faults{LoseNext: 1})
	d.run(ExitOK, "restore", "marka-hall")
	list, _, err = d.store.List(t.Context(), resource.KindEvacuation)
	require.NoError(t, err)
	require.Empty(t, list)
}
