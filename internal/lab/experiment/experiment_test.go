package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

const example = `
title = "two loads"
[[run]]
name = "low"
command = "requests"
[run.options]
load = [0.5, 1]
faults = "none"
no-baselines = true
trace = false
[[run]]
name = "kills"
command = "flows"
`

func TestArguments(t *testing.T) {
	f, err := Parse([]byte(example))
	require.NoError(t, err)
	require.Equal(t, []string{"requests", "--faults=none", "--load=0.5", "--load=1", "--no-baselines"}, f.Runs[0].Arguments())
	require.Equal(t, []string{"flows"}, f.Runs[1].Arguments())
}

func TestParseErrors(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"empty":          {"", "there is no [[run]]"},
		"unknown key":    {"[[run]]\nname = \"a\"\ncomand = \"flows\"\n", "line 3: run.comand is not a known key"},
		"not TOML":       {"[[run", "line 1"},
		"wrong type":     {"[[run]]\nname = 3\n", "line 2"},
		"no name":        {"[[run]]\ncommand = \"flows\"\n", "run 1: name is missing"},
		"no command":     {"[[run]]\nname = \"a\"\n", `run 1: command "" is not a valid command name`},
		"dashes":         {"[[run]]\nname = \"a\"\ncommand = \"--help\"\n", `run 1: command "--help" is not a valid command name`},
		"table":          {"[[run]]\nname = \"a\"\ncommand = \"flows\"\n[run.options.x]\ny = 1\n", "run 1: options.x: is a table"},
		"option name":    {"[[run]]\nname = \"a\"\ncommand = \"flows\"\n[run.options]\n\"a=b\" = 1\n", "run 1: options.a=b: is not a valid option name"},
		"nested list":    {"[[run]]\nname = \"a\"\ncommand = \"flows\"\noptions = {a = [[1]]}\n", "run 1: options.a: is a nested list"},
		"date":           {"[[run]]\nname = \"a\"\ncommand = \"flows\"\noptions = {a = 2020-01-01}\n", "run 1: options.a: 2020-01-01 has an unsupported type"},
		"duplicate name": {"[[run]]\nname = \"a\"\ncommand = \"x\"\n[[run]]\nname = \"a\"\ncommand = \"x\"\n", `run 2: duplicate name "a"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestOutcomes(t *testing.T) {
	f, err := Parse([]byte(example))
	require.NoError(t, err)
	command := func(_ context.Context, args []string, out io.Writer) error {
		if args[0] == "flows" {
			return errors.New("2 flows broke")
		}
		_, _ = fmt.Fprint(out, "load 0.5: fine, p50=3\nrequests=10 p50_ms=1.5\nrequests=20 lies=0\n")
		return nil
	}
	var progress, table bytes.Buffer
	outcomes, err := Execute(t.Context(), f, command, &progress)
	require.EqualError(t, err, "1 of 2 runs failed")
	require.Contains(t, progress.String(), "run 2 of 2: kills")
	require.Equal(t, []Figures{
		{{"requests", "10"}, {"p50_ms", "1.5"}}, {{"requests", "20"}, {"lies", "0"}},
	}, outcomes[0].Measured)
	require.NoError(t, PrintTable(&table, outcomes))
	require.Contains(t, table.String(), "requests  seconds  requests  p50_ms  lies  outcome\n")
	require.Contains(t, table.String(), "low       0.0      20                0     passed\n")
	require.Contains(t, table.String(), "2 flows broke")
}

func TestExecuteStopsWhenContextEnds(t *testing.T) {
	f, err := Parse([]byte(example))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	outcomes, err := Execute(ctx, f, func(context.Context, []string, io.Writer) error {
		cancel()
		return nil
	}, nil)
	require.ErrorIs(t, err, context.Canceled)
	require.Len(t, outcomes, 1)
}

// Parse must not panic on any input, and the key or value of an option must not be read as another argument.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("[[run]]\nname = \"a\"\ncommand = \"flows\"\noptions = {a = [1, \"b\"], c = 1e300}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text)
		if err != nil {
			return
		}
		for _, r := range file.Runs {
			for i, a := range r.Arguments() {
				if i == 0 {
					require.NotEqual(t, byte('-'), a[0])
					continue
				}
				require.Regexp(t, `^--[a-z]`, a)
			}
		}
	})
}
