package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// Command runs one command line and writes its output.
type Command func(ctx context.Context, args []string, out io.Writer) error

// Execute executes all runs sequentially and returns their outcomes. The error states how many runs failed, or that ctx
// ended before the last run. Progress receives a line for each run and may be nil.
func Execute(ctx context.Context, f File, command Command, progress io.Writer) ([]Outcome, error) {
	outcomes := make([]Outcome, 0, len(f.Runs))
	failed := 0
	for i, r := range f.Runs {
		if ctx.Err() != nil {
			return outcomes, trace.Wrap(ctx.Err(), "stopped after %d of %d runs", i, len(f.Runs))
		}
		printProgress(progress, "run %d of %d: %s ...", i+1, len(f.Runs), r.Name)
		o := execute(ctx, r, command)
		printProgress(progress, " %.1f s\n", o.Seconds)
		if o.Error != "" {
			failed++
		}
		outcomes = append(outcomes, o)
	}
	if failed > 0 {
		return outcomes, trace.Errorf("%d of %d runs failed", failed, len(f.Runs))
	}
	return outcomes, nil
}

func execute(ctx context.Context, r Run, command Command) Outcome {
	var out bytes.Buffer
	begin := time.Now()
	err := command(ctx, r.Arguments(), &out)
	o := Outcome{Name: r.Name, Command: r.Command, Seconds: time.Since(begin).Seconds(), Measured: parseOutput(out.Bytes())}
	if err != nil {
		o.Error = trace.UserMessage(err)
	}
	return o
}

func printProgress(w io.Writer, format string, args ...any) {
	if w != nil {
		_, _ = fmt.Fprintf(w, format, args...)
	}
}
