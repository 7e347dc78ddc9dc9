package archtest

import (
	"bytes"
	"go/ast"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	platformDir = "platform"
	// maxPlatformLines bounds the lines of the adapter's source files without tests: logic belongs into pkg.
	maxPlatformLines = 1500
)

// TestPlatformOnlyTranslates checks that the adapter reads no clock and imports only data types, the object API and package
// dsrd, whose Platform interface it implements; platformtest may import more.
func TestPlatformOnlyTranslates(t *testing.T) {
	for path, f := range sourceFiles(t, platformDir) {
		for _, imported := range imports(f) {
			below, ours := strings.CutPrefix(imported, module)
			if !ours || strings.HasPrefix(path, filepath.Join(root, platformDir, "platformtest")) {
				continue
			}
			require.Contains(t, []string{
				"pkg/dsr/announcement", "pkg/dsr/configuration", "pkg/dsr/segment", "pkg/dsrd", "pkg/flow", "pkg/objectapi", "pkg/settings",
			}, below, path)
		}
		require.Empty(t, clockCalls(f), "%s reads the clock", path)
	}
}

func TestPlatformStaysSmall(t *testing.T) {
	lines := 0
	for path := range sourceFiles(t, platformDir) {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		lines += bytes.Count(text, []byte("\n"))
	}
	require.Less(t, lines, maxPlatformLines)
}

// TestOnlyPlatformNamesItsFields checks that no other code contains a field name or path of the platform's protocols. Names
// of one word are exempt, since other code uses them for its own fields.
func TestOnlyPlatformNamesItsFields(t *testing.T) {
	names := platformFields(t)
	require.True(t, names["pathPrefix"], "the platform's fields are found")
	require.True(t, names["warmupLeftMs"], "the fields of reports are found")
	for _, dir := range []string{"pkg", "internal", "cmd"} {
		for path, f := range sourceFiles(t, dir) {
			for _, text := range stringLiterals(f) {
				require.False(t, names[text], "%s names %s", path, text)
				require.NotContains(t, text, "/-/", path)
			}
		}
	}
}

// platformFields returns the field names of the adapter's documents that have more than one word.
func platformFields(t *testing.T) map[string]bool {
	names := map[string]bool{}
	for _, f := range sourceFiles(t, platformDir) {
		for _, name := range fieldConstants(f) {
			names[name] = true
		}
		ast.Inspect(f, func(n ast.Node) bool {
			field, ok := n.(*ast.Field)
			if !ok || field.Tag == nil {
				return true
			}
			tag, _ := strconv.Unquote(field.Tag.Value)
			name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
			if strings.ToLower(name) != name {
				names[name] = true
			}
			return true
		})
	}
	return names
}

// fieldConstants returns the values of constants named field..., where the value has more than one word.
func fieldConstants(f *ast.File) []string {
	var out []string
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "field") {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
			text, _ := strconv.Unquote(literal.Value)
			if strings.ToLower(text) != text {
				out = append(out, text)
			}
		}
		return true
	})
	return out
}

// stringLiterals returns the string literals of a file, and the JSON names in its tags.
func stringLiterals(f *ast.File) []string {
	var out []string
	ast.Inspect(f, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			return true
		}
		name, _, _ := strings.Cut(reflect.StructTag(text).Get("json"), ",")
		out = append(out, text, name)
		return true
	})
	return out
}
