package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// deleteCommand deletes services.
type deleteCommand struct {
	DryRun  bool   `long:"dry-run" description:"Say what would be deleted, without writing"`
	Version uint64 `long:"version-is" value-name:"N" description:"Delete only when the stored version is N"`
	Args    struct {
		Names []string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

func (c *deleteCommand) run(ctx context.Context, s *session) error {
	args := c.Args.Names
	if len(args) == 0 {
		return &usageError{reason: "name at least one service"}
	}
	if c.Version != 0 && len(args) > 1 {
		return &usageError{reason: "--version-is goes with one name"}
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	d := Deleter{Store: store, Version: c.Version, DryRun: c.DryRun}
	results := make([]ApplyResult, 0, len(args))
	var errs []error
	for _, name := range args {
		r, err := d.Delete(ctx, name)
		if err != nil {
			errs = append(errs, err)
		}
		results = append(results, r)
	}
	return errors.Join(append(errs, s.writeResults(results))...)
}

// Deleter deletes services by conditional deletes.
type Deleter struct {
	Store objectapi.Store
	// Version is the only version that may be deleted; 0 means the stored one.
	Version uint64
	// DryRun skips all writes.
	DryRun bool
}

// Delete deletes a service and returns what was done. The error matches objectapi.ErrNotFound, objectapi.ErrConflict when
// another version is stored, objectapi.ErrOutcomeUnknown when the delete may have taken effect, or is the store's error.
func (d Deleter) Delete(ctx context.Context, name string) (ApplyResult, error) {
	r := ApplyResult{Name: name, DryRun: d.DryRun, Action: ActionFailed}
	o, err := d.Store.Get(ctx, resource.KindService, name)
	if err != nil {
		return r, trace.Wrap(err, "reading service %s", name)
	}
	r.Version = o.Version
	if d.Version != 0 && d.Version != o.Version {
		return r.failed(ActionConflict, objectapi.ErrConflict, "version %d is stored, not %d", o.Version, d.Version)
	}
	if d.DryRun {
		r.Action = ActionDeleted
		return r, nil
	}
	return d.write(ctx, r)
}

// write deletes the version of r; it repeats the delete when an answer is lost.
func (d Deleter) write(ctx context.Context, r ApplyResult) (ApplyResult, error) {
	lost := false
	for range maxAttempts {
		err := d.Store.Delete(ctx, resource.KindService, r.Name, r.Version)
		switch {
		case err == nil:
			r.Action = ActionDeleted
			return r, nil
		case errors.Is(err, objectapi.ErrNotFound):
			r.Action = ActionDeleted
			r.Detail = "it was gone already"
			if lost {
				r.Detail = "the answer was lost; the service is gone"
			}
			return r, nil
		case errors.Is(err, objectapi.ErrConflict) && lost:
			return r.failed(ActionUnknown, objectapi.ErrOutcomeUnknown, "the answer was lost, and another version is stored now")
		case errors.Is(err, objectapi.ErrConflict):
			return r.failed(ActionConflict, objectapi.ErrConflict, "another operator changed version %d meanwhile; it was not deleted", r.Version)
		case errors.Is(err, objectapi.ErrUnavailable) && lost:
			return r.failed(ActionUnknown, objectapi.ErrOutcomeUnknown, "the answer was lost, and the object API is unavailable now")
		case !errors.Is(err, objectapi.ErrOutcomeUnknown):
			return r.failed(ActionFailed, err, "nothing was deleted")
		}
		// The condition on the version makes the delete safe to repeat.
		lost = true
	}
	return r.failed(ActionUnknown, objectapi.ErrOutcomeUnknown, "gave up after %d answers were lost", maxAttempts)
}

// failed returns r as a failure, with its error.
func (r ApplyResult) failed(a Action, cause error, format string, args ...any) (ApplyResult, error) {
	r.Action = a
	r.Detail = fmt.Sprintf(format, args...)
	return r, trace.Wrap(cause, "service %s: %s", r.Name, r.Detail)
}
