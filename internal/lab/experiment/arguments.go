package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
)

// Arguments returns the command line of the run, sorted by option.
func (r Run) Arguments() []string {
	args := []string{r.Command}
	for _, key := range slices.Sorted(maps.Keys(r.Options)) {
		// Parse has already validated the values.
		list, _ := arguments(key, r.Options[key])
		args = append(args, list...)
	}
	return args
}

// arguments returns the arguments for one option: one for each element of a list, none for false.
func arguments(key string, value any) ([]string, error) {
	switch v := value.(type) {
	case bool:
		if v {
			return []string{"--" + key}, nil
		}
		return nil, nil
	case []any:
		var out []string
		for _, one := range v {
			text, err := scalar(one)
			if err != nil {
				return nil, err
			}
			out = append(out, "--"+key+"="+text)
		}
		return out, nil
	}
	text, err := scalar(value)
	if err != nil {
		return nil, err
	}
	return []string{"--" + key + "=" + text}, nil
}

func scalar(value any) (string, error) {
	switch v := value.(type) {
	case string:
		return v, nil
	case int64:
		return strconv.FormatInt(v, 10), nil
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64), nil
	}
	return "", trace.BadParameter("%s; want a string, a number, a boolean, or a list of strings or numbers", kindOf(value))
}

func kindOf(value any) string {
	switch value.(type) {
	case map[string]any:
		return "is a table"
	case []any:
		return "is a nested list"
	case bool:
		return "is a list that contains a boolean"
	}
	return fmt.Sprintf("%v has an unsupported type", value)
}
