package resource

import (
	"fmt"
	"strings"
)

// FieldError is one mistake in a field of a resource.
type FieldError struct {
	// Field is the path of the field in its JSON form, for example "spec.addresses[0].port".
	Field string `json:"field"`
	// Reason states what is wrong with the field.
	Reason string `json:"reason"`
}

// String returns the mistake as "field: reason".
func (e FieldError) String() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// ValidationError holds every mistake of one resource.
type ValidationError struct {
	// Name may be empty.
	Name string
	// Fields has the mistakes in the order of the resource's fields.
	Fields []FieldError
}

// Error returns one line with every mistake.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("service %q: %s", e.Name, JoinFieldErrors(e.Fields))
}

// JoinFieldErrors returns the mistakes in one line, separated by semicolons.
func JoinFieldErrors(list []FieldError) string {
	parts := make([]string, 0, len(list))
	for _, f := range list {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// fieldErrors collects the mistakes of one resource.
type fieldErrors []FieldError

func (e *fieldErrors) add(field, format string, args ...any) {
	*e = append(*e, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}
