package command

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/experiment"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

func TestExperimentExamples(t *testing.T) {
	files, err := filepath.Glob("../../../docs/examples/experiments/*.toml")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 2)
	for _, file := range files {
		f, err := experiment.Load(file)
		require.NoError(t, err)
		for _, r := range f.Runs {
			_, err := parseRun(r.Arguments())
			require.NoError(t, err, "%s: %s", file, r.Name)
		}
	}
}

func TestInvalidRunsAreRejected(t *testing.T) {
	cases := map[string]struct {
		args []string
		want string
	}{
		"unknown option":  {[]string{"flows", "--flwos=3"}, "flwos"},
		"wrong value":     {[]string{"flows", "--flows=many"}, "flows"},
		"unknown command": {[]string{"flow"}, "flow"},
		"serving":         {[]string{"standin"}, "standin"},
		"itself":          {[]string{"run"}, "run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parseRun(c.args)
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestMissingExperimentFileFails(t *testing.T) {
	var out, errOut bytes.Buffer
	code := Main(t.Context(), []string{"run", "none.toml"}, &out, &errOut)
	require.Equal(t, telemetry.ExitFailure, code)
	require.Contains(t, errOut.String(), "none.toml")
}
