package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// moduleRow matches a table row of the dependency page whose first cell is a module path.
var moduleRow = regexp.MustCompile("(?m)^\\| `([a-z0-9.]+\\.[a-z]+/[^`]+)` \\|")

// TestDependenciesAreExplained compares the modules that go.mod requires directly with those of the dependency page.
func TestDependenciesAreExplained(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "DEPENDENCIES.md"))
	require.NoError(t, err)
	var explained []string
	for _, m := range moduleRow.FindAllStringSubmatch(string(page), -1) {
		explained = append(explained, m[1])
	}
	required := directModules(t)
	require.NotEmpty(t, required)
	require.ElementsMatch(t, required, explained)
}

// directModules returns the modules that go.mod requires directly.
func directModules(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "go.mod"))
	require.NoError(t, err)
	var modules []string
	inside := false
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "require" && fields[len(fields)-1] == "(":
			inside = true
		case fields[0] == ")":
			inside = false
		case strings.HasSuffix(strings.TrimSpace(line), "// indirect"):
		case inside:
			modules = append(modules, fields[0])
		case fields[0] == "require":
			modules = append(modules, fields[1])
		}
	}
	return modules
}
