package agentd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
)

func TestPeerTable(t *testing.T) {
	v := &view.Service{Targets: []view.Target{
		{ID: "a", Control: "127.0.0.1:1", State: view.StateActive, Weight: 1},
		{ID: "b", Control: "127.0.0.1:2", State: view.StateDraining, Weight: 1},
		{ID: "c", Control: "127.0.0.1:3", State: view.StateActive, Weight: 0},
		{ID: "d", Control: "", State: view.StateActive, Weight: 1},
		{ID: "self", Control: "127.0.0.1:4", State: view.StateActive, Weight: 1},
	}}
	p := newPeerTable(v, "self")
	require.Len(t, p.candidates, 1)
	require.Equal(t, "a", p.candidates[0].Agent)
	require.Len(t, p.all, 3, "a draining agent can be found for its tickets but gets no new requests")
}
