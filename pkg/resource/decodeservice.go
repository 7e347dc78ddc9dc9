package resource

import (
	"encoding/json"
	"reflect"
	"strings"
)

// DecodeService decodes a service from one JSON document and validates it. It returns every mistake at once: unknown
// fields, values of a wrong type, and what ValidateService finds in the rest. Field names are case-sensitive.
func DecodeService(b []byte) (Service, []FieldError) {
	var s Service
	if !json.Valid(b) {
		return s, []FieldError{{Reason: syntaxReason(b)}}
	}
	var e fieldErrors
	e.decode("", b, reflect.ValueOf(&s).Elem())
	wrong := e
	for _, f := range ValidateService(s) {
		if !covered(wrong, f.Field) {
			e = append(e, f)
		}
	}
	return s, e
}

// syntaxReason returns why text is not one JSON document.
func syntaxReason(b []byte) string {
	var v any
	return decodeError(json.Unmarshal(b, &v), b).Error()
}

// covered reports whether the list already has a mistake of a field, or of an object or list that contains it.
func covered(list []FieldError, field string) bool {
	for _, f := range list {
		rest, ok := strings.CutPrefix(field, f.Field)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[' || f.Field == "") {
			return true
		}
	}
	return false
}
