package ctl

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// refusalReasons returns the values of the constants of type Reason in pkg/refusal.
func refusalReasons(t *testing.T) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "refusal", "record.go"), nil, 0)
	require.NoError(t, err)
	var out []string
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := v.Type.(*ast.Ident); ok && typ.Name == "Reason" {
			s, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			out = append(out, s)
		}
		return true
	})
	return out
}

func TestOperationsPageExplainsEveryReason(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "\n## Refusals")
	require.True(t, found)
	reasons := refusalReasons(t)
	require.Greater(t, len(reasons), 20)
	for _, r := range reasons {
		require.Contains(t, section, "\n| `"+r+"` |")
	}
	require.Equal(t, len(reasons), strings.Count(section, "\n| `"), "the page explains a reason that is gone")
}

func TestExplainPrintsASentenceForEveryReason(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	d := newHarness(t)
	for _, r := range refusalReasons(t) {
		text := refusal.Reason(r).Explanation()
		require.NotEmpty(t, text, r)
		d.answer = refusal.QueryResult{Refusals: 2, Records: []refusal.Record{
			{Time: d.now, Count: 1, Reason: refusal.Reason(r)}, {Time: d.now, Count: 1, Reason: refusal.Reason(r)},
		}}
		out := d.run(ExitOK, "explain")
		require.Equal(t, 1, strings.Count(out, "\n"+r+": "+text+"\n"))
		require.Contains(t, strings.ReplaceAll(string(page), "`", ""), "\n| "+r+" | "+text+" |", "the page says the same")
	}
}
