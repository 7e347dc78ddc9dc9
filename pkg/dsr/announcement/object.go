package announcement

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"unicode/utf8"
)

// maxText bounds strings, in bytes: the length of a DNS name.
const maxText = 253

// Object is one decoded JSON object. Its methods keep the first error, which is a *Rejection, and return zero values
// after it.
type Object struct {
	fields map[string]json.RawMessage
	err    error
}

// ReadObject decodes bytes that are one JSON object and nothing else. Unlike encoding/json it distinguishes fields by
// case and rejects duplicates: of two values of one field it is unclear which was meant.
func ReadObject(b []byte) *Object {
	o := &Object{fields: make(map[string]json.RawMessage)}
	if !utf8.Valid(b) {
		return o.Fail(Unreadable, "")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	if first, err := d.Token(); err != nil || first != json.Delim('{') {
		return o.Fail(Unreadable, "")
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return o.Fail(Unreadable, "")
		}
		// Within an object the decoder returns names as strings.
		field := name.(string)
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return o.Fail(Unreadable, field)
		}
		if _, twice := o.fields[field]; twice {
			return o.Fail(DuplicateField, field)
		}
		o.fields[field] = value
	}
	if _, err := d.Token(); err != nil {
		return o.Fail(Unreadable, "")
	}
	if _, err := d.Token(); err != io.EOF {
		return o.Fail(Unreadable, "")
	}
	return o
}

// Err is the first error, or nil.
func (o *Object) Err() error { return o.err }

// Fail sets the error unless there is one already.
func (o *Object) Fail(r Reason, field string) *Object {
	if o.err == nil {
		o.err = &Rejection{Reason: r, Field: field}
	}
	return o
}

// Has reports whether a field is present. One that is null counts as missing.
func (o *Object) Has(field string) bool {
	value, ok := o.fields[field]
	return ok && string(value) != "null"
}

// Decode decodes a required field.
func (o *Object) Decode(field string, out any) {
	if o.err != nil {
		return
	}
	if !o.Has(field) {
		o.Fail(MissingField, field)
		return
	}
	if err := json.Unmarshal(o.fields[field], out); err != nil {
		o.Fail(WrongType, field)
	}
}

// Text decodes a string of 1 to maxText bytes.
func (o *Object) Text(field string) string {
	var s string
	o.Decode(field, &s)
	if o.err == nil && (s == "" || len(s) > maxText) {
		o.Fail(OutOfRange, field)
	}
	return s
}

// Uint decodes an integer from lowest to highest.
func (o *Object) Uint(field string, lowest, highest uint64) uint64 {
	var n json.Number
	o.Decode(field, &n)
	if o.err != nil {
		return 0
	}
	// A string that contains a number decodes into json.Number too.
	if o.fields[field][0] == '"' {
		o.Fail(WrongType, field)
		return 0
	}
	v, err := n.Int64()
	switch {
	case err != nil && !beyondInt64(n):
		o.Fail(WrongType, field)
	case err != nil, v < 0, uint64(v) < lowest, uint64(v) > highest:
		o.Fail(OutOfRange, field)
	}
	if o.err != nil {
		return 0
	}
	return uint64(v)
}

// OptionalUint decodes an integer that may be missing, which means 0.
func (o *Object) OptionalUint(field string, lowest, highest uint64) uint64 {
	if _, present := o.fields[field]; !present {
		return 0
	}
	return o.Uint(field, lowest, highest)
}

// beyondInt64 reports whether a number is too large for a signed 64-bit integer.
func beyondInt64(n json.Number) bool {
	f, err := n.Float64()
	return err != nil || math.Abs(f) >= math.MaxInt64
}

// Number decodes a number from 0 to highest.
func (o *Object) Number(field string, highest float64) float64 {
	var f float64
	o.Decode(field, &f)
	if o.err == nil && (f < 0 || f > highest) {
		o.Fail(OutOfRange, field)
	}
	return f
}
