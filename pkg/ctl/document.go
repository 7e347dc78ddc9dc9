package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// MaxInputSize is the maximum size of one input in bytes.
const MaxInputSize = 64 * objectapi.MaxValueSize

// Document is one service of an input.
type Document struct {
	// Source is the origin of the document, for example "services.json, document 2".
	Source string `json:"source"`
	// Service is the decoded service; fields that could not be decoded are zero.
	Service resource.Service `json:"-"`
	// Name is the service's name; empty when it could not be decoded.
	Name string `json:"name,omitempty"`
	// Errors has the mistakes of the document.
	Errors []resource.FieldError `json:"errors,omitempty"`
}

// ReadDocuments reads a stream of JSON documents, each of them one service, and validates each. Mistakes are recorded in
// the documents; invalid JSON ends the stream with a document that has the syntax error. It returns an error when r fails
// or has more than MaxInputSize bytes.
func ReadDocuments(r io.Reader, source string) ([]Document, error) {
	text, err := readAll(r, source)
	if err != nil {
		return nil, err
	}
	var list []Document
	d := json.NewDecoder(bytes.NewReader(text))
	for {
		var raw json.RawMessage
		err := d.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		name := fmt.Sprintf("%s, document %d", source, len(list)+1)
		if err != nil {
			return append(list, unreadable(name, "not JSON: "+err.Error())), nil
		}
		list = append(list, readDocument(name, raw))
	}
}

// readDocument decodes and validates one document.
func readDocument(name string, raw json.RawMessage) Document {
	d := Document{Source: name}
	d.Service, d.Errors = resource.DecodeService(raw)
	d.Name = d.Service.Name
	return d
}

// unreadable returns a document that could not be decoded, with the reason as its mistake.
func unreadable(name, reason string) Document {
	return Document{Source: name, Errors: []resource.FieldError{{Reason: reason}}}
}

// markDuplicates adds a mistake to each document with the name of an earlier one.
func markDuplicates(list []Document) {
	first := make(map[string]string, len(list))
	for i, d := range list {
		if d.Name == "" {
			continue
		}
		if source, ok := first[d.Name]; ok {
			list[i].Errors = append(list[i].Errors, resource.FieldError{Field: "name", Reason: fmt.Sprintf("%q is also the name in %s", d.Name, source)})
			continue
		}
		first[d.Name] = d.Source
	}
}
