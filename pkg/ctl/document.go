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

// MaxInputSize is the highest number of bytes of one input.
const MaxInputSize = 64 * objectapi.MaxValueSize

// Document is one service of an input.
type Document struct {
	// Source is where the document stands, for example "services.json, document 2".
	Source string
	// Service is the decoded service; its zero value when Errors tells that the document could not be read.
	Service resource.Service
	// Errors are the mistakes of the document alone.
	Errors []resource.FieldError
}

// ReadDocuments reads a stream of JSON documents, each of them one service, and validates each. Mistakes of documents
// stand in the documents; text that is not JSON ends the stream with a document that says so. The error is that of r.
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

// readDocument reads and validates one document.
func readDocument(name string, raw json.RawMessage) Document {
	d := Document{Source: name}
	if err := resource.Decode(raw, &d.Service); err != nil {
		return unreadable(name, err.Error())
	}
	d.Errors = resource.ValidateService(d.Service)
	return d
}

// unreadable returns a document that could not be read.
func unreadable(name, reason string) Document {
	return Document{Source: name, Errors: []resource.FieldError{{Reason: reason}}}
}
