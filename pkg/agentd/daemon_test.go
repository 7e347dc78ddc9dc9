package agentd

import (
	"net"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

func TestUnreadableTLSFilesFailStartup(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	missing := filepath.Join(t.TempDir(), "none.pem")
	s := settings.DefaultAgent()
	s.Name, s.AnnounceAddress, s.ControlAddress = "route-1", address, "127.0.0.1:0"
	s.TLS = settings.TLS{CA: missing, Certificate: missing, Key: missing}
	_, err = New(Options{Settings: s})
	require.ErrorContains(t, err, missing)
	again, err := net.Listen("tcp", address)
	require.NoError(t, err, "the announcement listener is closed")
	require.NoError(t, again.Close())
}
