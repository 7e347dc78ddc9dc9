package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	root   = "../.."
	module = "github.com/auburnwood/auburnwood/"
)

// sourceDirs are the directories of all Go code of the module.
var sourceDirs = []string{"pkg", "internal", "cmd", "platform"}

// decisionPackages perform no I/O and read no clock, so that their decisions are deterministic.
var decisionPackages = []string{
	"pkg/arbiter", "pkg/flow", "pkg/limit", "pkg/membership", "pkg/packet", "pkg/placement", "pkg/resource",
	"pkg/rollout", "pkg/ticket", "pkg/view", "pkg/wire", "pkg/dsr/admission", "pkg/dsr/announcement",
	"pkg/dsr/configuration", "pkg/dsr/directory", "pkg/dsr/dispatch", "pkg/dsr/estimate", "pkg/dsr/evacuation", "pkg/dsr/outlier", "pkg/dsr/overload", "pkg/dsr/ownership", "pkg/dsr/policy", "pkg/dsr/roster", "pkg/dsr/routing", "pkg/dsr/segment", "pkg/dsr/warmup",
}

// forbiddenImports may not be used by a decision package.
var forbiddenImports = map[string]bool{
	"net": true, "os": true, "net/http": true, "os/exec": true, "syscall": true, "google.golang.org/grpc": true,
}

// clockFunctions of package time may not be called by a decision package.
var clockFunctions = map[string]bool{
	"Now": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
	"Since": true, "Until": true,
}

// ioFiles are the files of decision packages that are exempt, since they are given the object API or a clock.
var ioFiles = map[string]bool{"group_writer.go": true, "read_groups.go": true}

func sourceFiles(t *testing.T, dir string) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
		files[path] = f
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, files, dir)
	return files
}

func imports(f *ast.File) []string {
	var paths []string
	for _, spec := range f.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		paths = append(paths, path)
	}
	return paths
}

// clockCalls returns the forbidden functions of package time that the file calls.
func clockCalls(f *ast.File) []string {
	var calls []string
	ast.Inspect(f, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if x, ok := sel.X.(*ast.Ident); ok && x.Name == "time" && clockFunctions[sel.Sel.Name] {
			calls = append(calls, sel.Sel.Name)
		}
		return true
	})
	return calls
}

func TestDecisionPackagesDoNoInputOrOutput(t *testing.T) {
	for _, dir := range decisionPackages {
		for path, f := range sourceFiles(t, dir) {
			if ioFiles[filepath.Base(path)] {
				continue
			}
			for _, imported := range imports(f) {
				require.False(t, forbiddenImports[imported], "%s imports %s", path, imported)
			}
			require.Empty(t, clockCalls(f), "%s reads the clock", path)
		}
	}
}

func TestLibraryPackagesDoNotImportLabOrCommands(t *testing.T) {
	for path, f := range sourceFiles(t, "pkg") {
		for _, imported := range imports(f) {
			require.NotEqual(t, module+"platform", imported, path)
			require.False(t, strings.HasPrefix(imported, module+"internal/"), "%s imports %s", path, imported)
			require.False(t, strings.HasPrefix(imported, module+"cmd/"), "%s imports %s", path, imported)
		}
	}
}

// processStarter is the only package that may start processes: it runs the daemons to inject faults from outside.
const processStarter = "internal/lab/soak"

func TestNoPackageStartsProcesses(t *testing.T) {
	for _, dir := range sourceDirs {
		for path, f := range sourceFiles(t, dir) {
			within := filepath.Dir(path) == filepath.Join(root, processStarter)
			for _, imported := range imports(f) {
				require.NotEqual(t, "net/http/httputil", imported, path)
				require.False(t, imported == "os/exec" && !within, "%s starts processes", path)
				lab := strings.Contains(path, filepath.Join("internal", "lab", "command"))
				require.False(t, imported == module+processStarter && !lab, "%s imports the package that starts processes", path)
			}
		}
	}
}

func TestEveryPackageHasAPackageComment(t *testing.T) {
	documented := map[string]bool{}
	for _, dir := range sourceDirs {
		for path, f := range sourceFiles(t, dir) {
			pkg := filepath.Dir(path)
			documented[pkg] = documented[pkg] || f.Doc != nil
		}
	}
	for pkg, ok := range documented {
		require.True(t, ok, "%s has no package comment", pkg)
	}
}
