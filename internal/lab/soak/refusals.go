package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

// refusalLine is what a balancer's log says of a refused flow.
type refusalLine struct {
	Op     string `json:"op"`
	Caller string `json:"caller"`
	Run    string `json:"run"`
	Record string `json:"record"`
}

// checkRefusals looks for flows of which a balancer said that nothing was run though a target has worked on a request.
func (w *world) checkRefusals() error {
	worked := make(map[string]string)
	w.mu.Lock()
	for request, id := range w.requests {
		caller, _, _ := strings.Cut(request, "#")
		worked[caller] = id
	}
	w.mu.Unlock()
	for _, b := range w.balancers {
		lines, err := refusalsOf(b.log)
		if err != nil {
			return err
		}
		for _, l := range lines {
			if id, ran := worked[l.Caller]; ran && l.Run == "no" {
				w.counts.violation("%s says in %s that nothing was run of %s, but %s worked on it", b.name, l.Record, l.Caller, id)
			}
		}
	}
	return nil
}

// refusalsOf reads the refusals from a log. A line that was cut by the end of its process is left out.
func refusalsOf(path string) ([]refusalLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // It was only read.
	var out []refusalLine
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var l refusalLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Op == "refuse" {
			out = append(out, l)
		}
	}
	return out, lines.Err()
}
