package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// applyCommand creates or replaces services.
type applyCommand struct {
	DryRun  bool          `long:"dry-run" description:"Check everything and say what would be done, without writing"`
	Retries int           `long:"retries" default:"0" value-name:"N" description:"Write over the change of another operator up to N times; by default it stays and the exit code is 3"`
	Wait    time.Duration `long:"wait" value-name:"TIME" description:"Wait until the services are in force on every balancer, at most this long"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	if c.Retries < 0 {
		return &usageError{reason: "--retries must not be negative"}
	}
	list, err := s.documents(c.Args.Files)
	if err != nil {
		return err
	}
	markConflicts(list)
	if hasErrors(list) {
		return s.reportDocuments(list)
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	if err := markStoredConflicts(ctx, store, list); err != nil {
		return err
	}
	if hasErrors(list) {
		return s.reportDocuments(list)
	}
	results, err := c.apply(ctx, store, list)
	if werr := s.writeResults(results); werr != nil {
		return errors.Join(err, werr)
	}
	if err != nil || c.Wait == 0 || c.DryRun {
		return err
	}
	return c.wait(ctx, s, store, results)
}

// apply writes each service and continues after failures.
func (c *applyCommand) apply(ctx context.Context, store objectapi.Store, list []Document) ([]ApplyResult, error) {
	a := Applier{Store: store, Retries: c.Retries, DryRun: c.DryRun}
	results := make([]ApplyResult, 0, len(list))
	var errs []error
	for _, d := range list {
		r, err := a.Apply(ctx, d.Service)
		if err != nil {
			errs = append(errs, err)
		}
		results = append(results, r)
	}
	return results, errors.Join(errs...)
}

// wait waits until the written services are in force, for c.Wait at most.
func (c *applyCommand) wait(ctx context.Context, s *session, store objectapi.Store, results []ApplyResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	want := make(map[string]uint64, len(results))
	for _, r := range results {
		want[r.Name] = r.Version
	}
	started := s.app.Now()
	if err := waitInForce(ctx, store, want); err != nil {
		return err
	}
	fmt.Fprintf(s.app.Stderr, "in force on every balancer after %s\n", s.app.Now().Sub(started).Round(time.Millisecond))
	return nil
}

// hasErrors reports whether a document has a mistake.
func hasErrors(list []Document) bool {
	for _, d := range list {
		if len(d.Errors) > 0 {
			return true
		}
	}
	return false
}

// writeResults writes the results as JSON or as a table.
func (s *session) writeResults(list []ApplyResult) error {
	if s.json() {
		return s.writeJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, r := range list {
		action := string(r.Action)
		if r.DryRun {
			action += " (dry run)"
		}
		rows = append(rows, []string{r.Name, action, strconv.FormatUint(r.Version, 10), r.Detail})
	}
	return s.writeTable([]string{"SERVICE", "RESULT", "VERSION", "DETAIL"}, rows)
}
