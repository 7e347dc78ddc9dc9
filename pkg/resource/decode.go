package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// Decode decodes one JSON document into v. Unknown fields and text after the document are errors.
func Decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return trace.Wrap(decodeError(err, b), "decoding %T", v)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("decoding %T: there is text after the document", v)
	}
	return nil
}

// Encode encodes v as one JSON document.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err, "encoding %T", v)
	}
	return b, nil
}

// decodeError converts an error of the JSON decoder into one that names the field or the line.
func decodeError(err error, b []byte) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return trace.BadParameter("field %q: a JSON %s does not fit type %s (line %d)", te.Field, te.Value, te.Type, line(b, te.Offset))
	}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		return trace.BadParameter("not JSON: %v (line %d)", se, line(b, se.Offset))
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return trace.BadParameter("not JSON: the text ends before the document does")
	}
	return trace.BadParameter("%v", err)
}

// line returns the 1-based line number of a byte offset.
func line(b []byte, offset int64) int {
	end := min(max(int(offset), 0), len(b))
	return bytes.Count(b[:end], []byte{'\n'}) + 1
}
