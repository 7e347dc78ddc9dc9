package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// watchCommand follows changes.
type watchCommand struct {
	Count int `long:"count" default:"0" value-name:"N" description:"End after N lines; 0 follows until interrupted"`
	Args  struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

func (c *watchCommand) run(ctx context.Context, s *session) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := follower{session: s, cancel: cancel, name: c.Args.Name, remaining: c.Count, limited: c.Count > 0, services: make(map[string]objectapi.Object), statuses: make(map[string]objectapi.Object)}
	return f.follow(ctx, store, kind)
}

// follower prints changes to the output.
type follower struct {
	session *session
	cancel  context.CancelFunc
	// name restricts the changes to one object; empty means all.
	name string
	// remaining is the number of lines left to print when limited is true.
	remaining int
	limited   bool
	// services and statuses have the last seen objects by name.
	services, statuses map[string]objectapi.Object
	// err is the error of writing the output.
	err error
}

// follow prints the changes of a kind until the context ends. A change of a service's status counts as a change of the
// service.
func (f *follower) follow(ctx context.Context, store objectapi.Store, kind objectapi.Kind) error {
	batches := make(chan []objectapi.Event)
	g, ctx := errgroup.WithContext(ctx)
	watched := []objectapi.Kind{kind}
	if kind == resource.KindService {
		watched = append(watched, resource.KindServiceStatus)
	}
	for _, k := range watched {
		g.Go(func() error { return send(ctx, store, k, batches) })
	}
	g.Go(func() error { return f.print(ctx, kind, batches) })
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return f.err
}

// send sends the changes of a kind to out.
func send(ctx context.Context, store objectapi.Store, kind objectapi.Kind, out chan<- []objectapi.Event) error {
	return objectapi.WatchKind(ctx, store, kind, objectapi.InformerConfig{}, func(events []objectapi.Event, _ uint64) {
		select {
		case out <- events:
		case <-ctx.Done():
		}
	})
}

// print prints the changes received from in until the context ends.
func (f *follower) print(ctx context.Context, kind objectapi.Kind, in <-chan []objectapi.Event) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case events := <-in:
			for _, e := range events {
				f.event(kind, e)
			}
		}
	}
}

// event prints one change, unless it is filtered out.
func (f *follower) event(kind objectapi.Kind, e objectapi.Event) {
	if f.limited && f.remaining == 0 || f.name != "" && f.name != e.Object.Name {
		return
	}
	if kind == resource.KindService {
		f.service(e)
		return
	}
	if kind == resource.KindDSRServiceStatus && e.Type == objectapi.EventPut {
		f.line(e.Type, rawOf(e.Object), append([]string{string(e.Type)}, dsrStatusColumns(e.Object)...))
		return
	}
	f.line(e.Type, rawOf(e.Object), []string{string(e.Type), e.Object.Name, fmt.Sprintf("version %d", e.Object.Version), fmt.Sprintf("%d bytes", len(e.Object.Value))})
}

// service prints a change of a service or its status.
func (f *follower) service(e objectapi.Event) {
	name := e.Object.Name
	seen := f.services
	if e.Object.Kind == resource.KindServiceStatus {
		seen = f.statuses
	}
	seen[name] = e.Object
	if e.Type == objectapi.EventDelete {
		delete(seen, name)
	}
	service, stored := f.services[name]
	if e.Type == objectapi.EventDelete && e.Object.Kind == resource.KindService {
		f.line(e.Type, ServiceRow{Name: name, Version: e.Object.Version}, []string{string(e.Type), name})
		return
	}
	if !stored {
		return
	}
	row := serviceRow(service, f.statuses[name])
	f.line(e.Type, row, append([]string{string(e.Type)}, row.columns()...))
}

// watchLine is one line of the JSON output.
type watchLine struct {
	Type   objectapi.EventType `json:"type"`
	Object any                 `json:"object"`
}

// line writes one change as JSON or as columns, and stops the watch after the last line.
func (f *follower) line(t objectapi.EventType, object any, columns []string) {
	out := strings.Join(columns, "  ")
	if f.session.json() {
		b, err := json.Marshal(watchLine{Type: t, Object: object})
		if err != nil {
			f.stop(trace.Wrap(err, "encoding a change"))
			return
		}
		out = string(b)
	}
	if _, err := fmt.Fprintln(f.session.app.Stdout, strings.TrimRight(out, " ")); err != nil {
		f.stop(trace.Wrap(err, "writing the output"))
		return
	}
	f.remaining--
	if f.limited && f.remaining == 0 {
		f.stop(nil)
	}
}

// stop ends the watch with an error, or nil.
func (f *follower) stop(err error) {
	f.err = err
	f.cancel()
}
