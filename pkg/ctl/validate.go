package ctl

import (
	"context"
	"fmt"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// validateCommand checks services without a server.
type validateCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func (c *validateCommand) run(_ context.Context, s *session) error {
	list, err := s.documents(c.Args.Files)
	if err != nil {
		return err
	}
	markConflicts(list)
	return s.reportDocuments(list)
}

// markConflicts adds the address conflicts among the documents. The earlier document keeps the address.
func markConflicts(list []Document) {
	var services []resource.VersionedService
	index := make(map[string]int, len(list))
	for i, d := range list {
		if len(d.Errors) > 0 {
			continue
		}
		index[d.Name] = i
		services = append(services, resource.VersionedService{Service: d.Service, Version: uint64(i + 1)})
	}
	for _, r := range resource.ValidateAll(services, nil).Rejected {
		d := &list[index[r.Service.Name]]
		for _, f := range r.Fields {
			d.Errors = append(d.Errors, resource.FieldError{Field: f.Field, Reason: f.Reason})
		}
	}
}

// reportDocuments writes the result of each document and returns an error when any has mistakes.
func (s *session) reportDocuments(list []Document) error {
	wrong := 0
	for _, d := range list {
		if len(d.Errors) > 0 {
			wrong++
		}
	}
	if err := s.writeDocuments(list); err != nil {
		return err
	}
	if wrong > 0 {
		return &usageError{reason: fmt.Sprintf("%d of %d documents have mistakes", wrong, len(list))}
	}
	return nil
}

// writeDocuments writes one line for each mistake, and one for each document without mistakes.
func (s *session) writeDocuments(list []Document) error {
	if s.json() {
		return s.writeJSON(list)
	}
	var rows [][]string
	for _, d := range list {
		if len(d.Errors) == 0 {
			rows = append(rows, []string{d.Source, d.Name, "valid"})
		}
		for _, e := range d.Errors {
			rows = append(rows, []string{d.Source, d.Name, e.String()})
		}
	}
	return s.writeTable([]string{"DOCUMENT", "SERVICE", "RESULT"}, rows)
}
