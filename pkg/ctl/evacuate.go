package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// evacuateCommand declares that data centres take no new work.
type evacuateCommand struct {
	Reason string `long:"reason" value-name:"TEXT" description:"Why, for those who read it later"`
	Args   struct {
		DataCentres []string `positional-arg-name:"DATA-CENTRE"`
	} `positional-args:"yes"`
}

var errNoDataCentre = &usageError{reason: "name at least one data centre"}

func (c *evacuateCommand) run(ctx context.Context, s *session) error {
	value, err := json.Marshal(resource.Evacuation{Reason: c.Reason})
	if err != nil {
		return trace.Wrap(err, "encoding the evacuation")
	}
	return s.eachDataCentre(c.Args.DataCentres, func(store objectapi.Store, dataCentre string) (string, error) {
		return declare(ctx, store, dataCentre, value)
	})
}

// restoreCommand withdraws evacuations.
type restoreCommand struct {
	Args struct {
		DataCentres []string `positional-arg-name:"DATA-CENTRE"`
	} `positional-args:"yes"`
}

func (c *restoreCommand) run(ctx context.Context, s *session) error {
	return s.eachDataCentre(c.Args.DataCentres, func(store objectapi.Store, dataCentre string) (string, error) {
		return withdraw(ctx, store, dataCentre)
	})
}

// eachDataCentre calls f for each named data centre and prints its result. It continues after failures.
func (s *session) eachDataCentre(names []string, f func(store objectapi.Store, dataCentre string) (string, error)) error {
	if len(names) == 0 {
		return errNoDataCentre
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	var errs []error
	for _, d := range names {
		errs = append(errs, s.report(f(store, d)))
	}
	return errors.Join(errs...)
}

// report prints the result for one data centre, or returns err.
func (s *session) report(outcome string, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.app.Stdout, outcome)
	return err
}

// declare creates an evacuation. It succeeds when the data centre is already evacuated.
func declare(ctx context.Context, store objectapi.Store, dataCentre string, value []byte) (string, error) {
	for range maxAttempts {
		o, err := store.Create(ctx, resource.KindEvacuation, dataCentre, value)
		switch {
		case err == nil:
			return fmt.Sprintf("%s is evacuated, version %d", dataCentre, o.Version), nil
		case errors.Is(err, objectapi.ErrConflict):
			return dataCentre + " was evacuated before", nil
		case !errors.Is(err, objectapi.ErrOutcomeUnknown):
			return "", trace.Wrap(err, "evacuating %s", dataCentre)
		}
		// The create is idempotent, so it is safe to repeat after an unknown outcome.
	}
	return "", trace.Wrap(objectapi.ErrOutcomeUnknown, "evacuating %s: gave up after %d answers were lost", dataCentre, maxAttempts)
}

// withdraw deletes an evacuation. It succeeds when the data centre is not evacuated.
func withdraw(ctx context.Context, store objectapi.Store, dataCentre string) (string, error) {
	for range maxAttempts {
		o, err := store.Get(ctx, resource.KindEvacuation, dataCentre)
		if errors.Is(err, objectapi.ErrNotFound) {
			return dataCentre + " is not evacuated", nil
		}
		if err != nil {
			return "", trace.Wrap(err, "reading the evacuation of %s", dataCentre)
		}
		err = store.Delete(ctx, resource.KindEvacuation, dataCentre, o.Version)
		if err == nil {
			return dataCentre + " is used again", nil
		}
		retryable := errors.Is(err, objectapi.ErrOutcomeUnknown) || errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound)
		if !retryable {
			return "", trace.Wrap(err, "restoring %s", dataCentre)
		}
	}
	return "", trace.Wrap(objectapi.ErrOutcomeUnknown, "restoring %s: gave up after %d tries", dataCentre, maxAttempts)
}
