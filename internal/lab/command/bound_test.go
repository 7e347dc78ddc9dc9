package command

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

func TestBoundCommand(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, telemetry.ExitOK, Main(t.Context(), []string{"bound", "--seeds", "1", "--dark", "0s", "--length", "1s"}, &out, &errOut), errOut.String())
	require.Contains(t, out.String(), "bound: asked=")
	require.Contains(t, out.String(), "late=0 lost=0 worth=1.0000")
	out.Reset()
	require.Equal(t, telemetry.ExitFailure, Main(t.Context(), []string{"bound", "--targets", "0"}, &out, &errOut))
	require.Contains(t, errOut.String(), "1 or more")
}
