package archtest

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// layers lists the packages below pkg from the lowest layer up, as docs/ARCHITECTURE.md draws them. A package imports
// packages of its own layer or a lower one.
var layers = [][]string{
	{"wait"},
	{"wire", "flow", "resource", "objectapi", "errqueue", "dsr/announcement", "dsr/configuration", "dsr/directory", "dsr/dsrpb", "dsr/estimate", "dsr/evacuation", "dsr/evidence", "dsr/overload", "dsr/policy", "dsr/roster", "dsr/warmup"},
	{"lease", "refusal", "netstack", "packet", "dsr/recording", "dsr/segment", "dsr/routing", "dsr/admission", "dsr/outlier"},
	{"membership", "view", "placement", "ticket"},
	{"revision", "rollout", "arbiter", "limit", "dsr/dispatch", "dsr/ownership"},
	{"balancer", "agent", "request", "peer", "peer/peerpb", "telemetry", "settings"},
	{"balancerd", "agentd", "dsrd", "ctl", "caller"},
}

func layerOf(name string) (int, bool) {
	for i, names := range layers {
		for _, n := range names {
			if n == name {
				return i, true
			}
		}
	}
	return 0, false
}

func TestImportsPointDown(t *testing.T) {
	for path, f := range sourceFiles(t, "pkg") {
		name, err := filepath.Rel(filepath.Join(root, "pkg"), filepath.Dir(path))
		require.NoError(t, err)
		if strings.Contains(name, "test") {
			continue
		}
		layer, ok := layerOf(name)
		require.True(t, ok, "package %s is in no layer", name)
		for _, imported := range imports(f) {
			below, found := strings.CutPrefix(imported, module+"pkg/")
			if !found {
				continue
			}
			other, ok := layerOf(below)
			require.True(t, ok, "package %s is in no layer", below)
			require.LessOrEqual(t, other, layer, "%s imports %s", path, below)
		}
	}
}
