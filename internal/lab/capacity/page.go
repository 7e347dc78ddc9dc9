package capacity

import (
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Markers that delimit a generated section of the page.
const (
	markBegin = "<!-- capacity %s begin: written by auburnwood-lab capacity -->"
	markEnd   = "<!-- capacity %s end -->"
)

// section is a generated section of the page.
type section struct {
	name string
	text string
}

func sections(s Samples) ([]section, error) {
	figures, err := figureTable(s)
	if err != nil {
		return nil, err
	}
	exceeded, err := exceededList(s)
	if err != nil {
		return nil, err
	}
	limits, err := limitTable(s)
	if err != nil {
		return nil, err
	}
	return []section{
		{"machine", machineText(s)},
		{"exceeded", exceeded},
		{"limits", limits},
		{"figures", figures},
		{"slopes", slopeTable(s)},
	}, nil
}

// writePage replaces the generated sections of the page.
func writePage(path string, s Samples) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err, "read page")
	}
	text, err := render(string(b), s)
	if err != nil {
		return err
	}
	return trace.Wrap(os.WriteFile(path, []byte(text), 0o644), "write page")
}

// render returns the page with its generated sections computed from the samples.
func render(page string, s Samples) (string, error) {
	parts, err := sections(s)
	if err != nil {
		return "", err
	}
	for _, p := range parts {
		page, err = replace(page, p)
		if err != nil {
			return "", err
		}
	}
	return page, nil
}

func replace(page string, p section) (string, error) {
	begin := strings.Replace(markBegin, "%s", p.name, 1)
	end := strings.Replace(markEnd, "%s", p.name, 1)
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", trace.BadParameter("page has no marker %q", begin)
	}
	_, after, ok := strings.Cut(rest, end)
	if !ok {
		return "", trace.BadParameter("page has no marker %q", end)
	}
	return before + begin + "\n" + p.text + end + after, nil
}
