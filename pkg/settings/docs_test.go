package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// keysOf returns the dotted TOML keys of a settings struct.
func keysOf(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("toml")
		switch {
		case f.Anonymous:
			out = append(out, keysOf(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[Duration]():
			out = append(out, keysOf(f.Type, prefix+tag+".")...)
		default:
			out = append(out, prefix+tag)
		}
	}
	return out
}

// TestPagesNameEveryKey checks that the example files contain every key and that the operations page mentions it.
func TestPagesNameEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	for name, typ := range map[string]reflect.Type{"balancer.toml": reflect.TypeFor[Balancer](), "agent.toml": reflect.TypeFor[Agent](), "dsr-balancer.toml": reflect.TypeFor[DSRBalancer](), "dsr-agent.toml": reflect.TypeFor[DSRAgent]()} {
		text := "\n" + string(example(t, name))
		keys := keysOf(typ, "")
		require.Greater(t, len(keys), 15)
		for _, key := range keys {
			section, last, nested := strings.Cut(key, ".")
			if !nested {
				last = key
			} else {
				require.Contains(t, text, "\n["+section+"]\n")
			}
			require.Contains(t, text, "\n"+last+" = ", name)
			require.True(t, strings.Contains(string(page), "`"+key+"`") || strings.Contains(string(page), "`"+last+"`"), key)
		}
	}
}
