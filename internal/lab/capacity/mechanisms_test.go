package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var testName = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z0-9]+)`")

// Each figure must name a mechanism and at least one fault test, and all named tests must exist.
func TestFiguresNameExistingTests(t *testing.T) {
	for _, f := range figures() {
		names := testName.FindAllStringSubmatch(f.test, -1)
		require.NotEmpty(t, names, "%s names no test", f.name)
		for _, n := range names {
			require.True(t, hasTest(t, n[1], n[2]), "%s.%s of %q doesn't exist", n[1], n[2], f.name)
		}
		require.NotEmpty(t, f.mechanism, f.name)
	}
}

func hasTest(t *testing.T, pkg, name string) bool {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "pkg", pkg, "*_test.go"))
	require.NoError(t, err)
	for _, file := range files {
		b, err := os.ReadFile(file)
		require.NoError(t, err)
		if regexp.MustCompile(`(?m)^func ` + name + `\(t \*testing\.T\)`).Match(b) {
			return true
		}
	}
	return false
}
