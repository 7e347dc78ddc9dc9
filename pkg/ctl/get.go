package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// getCommand shows objects.
type getCommand struct {
	Args struct {
		Kind  string   `positional-arg-name:"KIND"`
		Names []string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

func (c *getCommand) run(ctx context.Context, s *session) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	list, missing, err := fetch(ctx, store, kind, c.Args.Names)
	if err != nil {
		return err
	}
	if err := s.writeObjects(ctx, store, kind, list); err != nil {
		return err
	}
	if len(missing) > 0 {
		return trace.Wrap(objectapi.ErrNotFound, "%s %s", kind, strings.Join(missing, ", "))
	}
	return nil
}

// fetch returns the named objects of a kind and the names that do not exist; without names, all objects sorted by name.
func fetch(ctx context.Context, store objectapi.Store, kind objectapi.Kind, names []string) ([]objectapi.Object, []string, error) {
	if len(names) == 0 {
		list, _, err := store.List(ctx, kind)
		slices.SortFunc(list, func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
		return list, nil, trace.Wrap(err, "listing objects of kind %s", kind)
	}
	var list []objectapi.Object
	var missing []string
	for _, name := range names {
		o, err := store.Get(ctx, kind, name)
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			missing = append(missing, name)
		case err != nil:
			return nil, nil, trace.Wrap(err, "reading %s %s", kind, name)
		default:
			list = append(list, o)
		}
	}
	return list, missing, nil
}

// writeObjects writes objects; services are joined with their status.
func (s *session) writeObjects(ctx context.Context, store objectapi.Store, kind objectapi.Kind, list []objectapi.Object) error {
	if kind == resource.KindDSRServiceStatus && !s.json() {
		return s.writeDSRStatuses(list)
	}
	if kind != resource.KindService {
		return s.writeRaw(list)
	}
	statuses, _, err := store.List(ctx, resource.KindServiceStatus)
	if err != nil {
		return trace.Wrap(err, "listing the status of services")
	}
	rows := serviceRows(list, statuses)
	if s.json() {
		return s.writeJSON(rows)
	}
	table := make([][]string, 0, len(rows))
	for _, r := range rows {
		table = append(table, r.columns())
	}
	return s.writeTable(rowHead, table)
}

// serviceRows joins services with their statuses.
func serviceRows(services, statuses []objectapi.Object) []ServiceRow {
	byName := make(map[string]objectapi.Object, len(statuses))
	for _, o := range statuses {
		byName[o.Name] = o
	}
	rows := make([]ServiceRow, 0, len(services))
	for _, o := range services {
		rows = append(rows, serviceRow(o, byName[o.Name]))
	}
	return rows
}

// serviceRow joins a service with its status, unless the status has version 0.
func serviceRow(service, status objectapi.Object) ServiceRow {
	v := resource.ReadService(service)
	row := ServiceRow{Name: v.Name, Version: v.Version, Unreadable: v.Unreadable}
	if v.Unreadable == "" {
		row.Spec = &v.Spec
	}
	if status.Version == 0 {
		return row
	}
	// A newer version of the system may have written the status, so unknown fields are ignored.
	if t, err := objectapi.Decode[resource.ServiceStatus](status); err == nil {
		row.Status = &t.Value
	}
	return row
}

// rawObject is the JSON output of an object of any kind.
type rawObject struct {
	Kind    objectapi.Kind  `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Binary  []byte          `json:"binary,omitempty"`
}

// rawOf returns an object for the output; a value that is not JSON is encoded in base64.
func rawOf(o objectapi.Object) rawObject {
	r := rawObject{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if json.Valid(o.Value) {
		r.Value = o.Value
	} else {
		r.Binary = o.Value
	}
	return r
}

// writeDSRStatuses writes a table of the statuses of pass-through services.
func (s *session) writeDSRStatuses(list []objectapi.Object) error {
	rows := make([][]string, 0, len(list))
	for _, o := range list {
		rows = append(rows, dsrStatusColumns(o))
	}
	return s.writeTable(dsrStatusHead, rows)
}

// writeRaw writes objects of any kind.
func (s *session) writeRaw(list []objectapi.Object) error {
	if s.json() {
		out := make([]rawObject, 0, len(list))
		for _, o := range list {
			out = append(out, rawOf(o))
		}
		return s.writeJSON(out)
	}
	rows := make([][]string, 0, len(list))
	for _, o := range list {
		rows = append(rows, []string{string(o.Kind), o.Name, strconv.FormatUint(o.Version, 10), strconv.Itoa(len(o.Value))})
	}
	return s.writeTable([]string{"KIND", "NAME", "VERSION", "BYTES"}, rows)
}
