package resource

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// unmarshaler is the interface type of values with a JSON decoder of their own.
var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// decode decodes raw into v field by field and records every unknown field and every value of a wrong type. A value of a
// wrong type leaves its field zero.
func (e *fieldErrors) decode(path string, raw json.RawMessage, v reflect.Value) {
	switch {
	case string(raw) == "null" && v.Kind() != reflect.Pointer:
		e.add(path, "is null")
	case v.Addr().Type().Implements(unmarshaler):
		e.decodeValue(path, raw, v)
	case v.Kind() == reflect.Struct:
		e.decodeObject(path, raw, v)
	case v.Kind() == reflect.Slice:
		e.decodeList(path, raw, v)
	case v.Kind() == reflect.Pointer && string(raw) != "null":
		v.Set(reflect.New(v.Type().Elem()))
		e.decode(path, raw, v.Elem())
	default:
		e.decodeValue(path, raw, v)
	}
}

func (e *fieldErrors) decodeObject(path string, raw json.RawMessage, v reflect.Value) {
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) != nil {
		e.add(path, "must be an object, not %s", describe(raw))
		return
	}
	known := fieldsOf(v.Type())
	for _, name := range slices.Sorted(maps.Keys(members)) {
		p := join(path, name)
		i, ok := known[name]
		if !ok {
			e.add(p, "is not a known field")
			continue
		}
		e.decode(p, members[name], v.Field(i))
	}
}

func (e *fieldErrors) decodeList(path string, raw json.RawMessage, v reflect.Value) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		e.add(path, "must be a list, not %s", describe(raw))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		e.decode(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

// decodeValue decodes a scalar, or a value with a JSON decoder of its own.
func (e *fieldErrors) decodeValue(path string, raw json.RawMessage, v reflect.Value) {
	err := json.Unmarshal(raw, v.Addr().Interface())
	if err == nil {
		return
	}
	v.SetZero()
	if v.Addr().Type().Implements(unmarshaler) {
		e.add(path, "%v", err)
		return
	}
	e.add(path, "must be %s, not %s", expectedType(v.Kind()), describe(raw))
}

// fieldsOf maps the JSON name of each field of a struct to its index.
func fieldsOf(t reflect.Type) map[string]int {
	m := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		m[name] = i
	}
	return m
}

// join appends a field's name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// expectedType describes the JSON values that fit a kind.
func expectedType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint16:
		return "a whole number from 0 to 65535"
	case reflect.Uint32:
		return "a whole number from 0 to 4294967295"
	}
	return "a number"
}

// maxShown is the maximum number of bytes of a value quoted in a message.
const maxShown = 40

// describe describes a JSON value for a message.
func describe(raw json.RawMessage) string {
	switch raw[0] {
	case '{':
		return "an object"
	case '[':
		return "a list"
	}
	if len(raw) > maxShown {
		return string(raw[:maxShown]) + "..."
	}
	return string(raw)
}
