package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxDepth is the maximum number of parts of a dotted key: section and key. Deeper tables are rejected without decoding,
// since the cost of re-encoding them grows faster than their depth.
const maxDepth = 2

// decodeTree decodes each key of a table separately, since the decoder stops at the first value of a wrong type. path is
// the path of the table.
func decodeTree(m *mistakes, path []string, table map[string]any, out any) {
	for _, k := range slices.Sorted(maps.Keys(table)) {
		p := append(slices.Clone(path), k)
		sub, isTable := table[k].(map[string]any)
		if !isTable || len(sub) == 0 {
			decodeKey(m, p, table[k], out)
			continue
		}
		if len(p) == maxDepth {
			m.undecoded(strings.Join(p, "."), "is not a known table")
			continue
		}
		decodeTree(m, p, sub, out)
	}
}

// decodeKey decodes one key into out and records a mistake if that fails.
func decodeKey(m *mistakes, path []string, value any, out any) {
	key := strings.Join(path, ".")
	text, err := toml.Marshal(nest(path, value))
	if err != nil {
		m.undecoded(key, "cannot be read: "+err.Error())
		return
	}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(out)
	if err == nil {
		return
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		m.undecoded(key, "is not a known key")
		return
	}
	m.undecoded(key, decodeReason(err, value))
}

// nest wraps value in the tables of path.
func nest(path []string, value any) map[string]any {
	inner := map[string]any{path[len(path)-1]: value}
	for _, k := range slices.Backward(path[:len(path)-1]) {
		inner = map[string]any{k: inner}
	}
	return inner
}

// decodeReason describes why a value does not fit its key, without the names of Go types.
func decodeReason(err error, value any) string {
	return fmt.Sprintf("%s is not of the key's type%s", describe(value), expectedType(err))
}

// expectedType returns the type of the key, taken from the end of the decoder's message; empty when unknown.
func expectedType(err error) string {
	if strings.HasSuffix(err.Error(), durationFormat) {
		return ", " + durationFormat
	}
	words := strings.Fields(err.Error())
	switch strings.TrimPrefix(words[len(words)-1], "[]") {
	case "settings.Duration":
		return ", " + durationFormat
	case "int":
		return ", a whole number"
	case "float64":
		return ", a number"
	case "string":
		return ", text or a list of texts"
	}
	return ""
}

// describe returns the TOML type of a value and, for a scalar, the value.
func describe(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("text %q", v)
	case int64, float64:
		return fmt.Sprintf("number %v", v)
	case bool:
		return fmt.Sprintf("boolean %v", v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%v", value)
}
