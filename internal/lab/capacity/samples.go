package capacity

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Samples are all measured values.
type Samples struct {
	// Machine describes the processor and the Go release.
	Machine string `json:"machine"`
	// Measured is the date of the last run.
	Measured string `json:"measured"`
	// Seconds is the duration of the last full run.
	Seconds float64 `json:"seconds"`
	// PeakMemory is the peak resident memory of the last full run, in bytes.
	PeakMemory float64 `json:"peakMemory"`
	// Probes are the measured series, by probe.
	Probes []ProbeSamples `json:"probes"`
}

// ProbeSamples are the series of one probe.
type ProbeSamples struct {
	// Probe is the name of the probe.
	Probe string `json:"probe"`
	// Seconds is the duration of the probe.
	Seconds float64 `json:"seconds"`
	// Series has one entry for each output of the probe.
	Series []Series `json:"series"`
}

// put adds the samples of a probe, replacing earlier ones.
func (s *Samples) put(one ProbeSamples) {
	for i := range s.Probes {
		if s.Probes[i].Probe == one.Probe {
			s.Probes[i] = one
			return
		}
	}
	s.Probes = append(s.Probes, one)
}

// Series returns the series with the given name.
func (s Samples) Series(name string) (Series, bool) {
	for _, p := range s.Probes {
		for _, one := range p.Series {
			if one.Name == name {
				return one, true
			}
		}
	}
	return Series{}, false
}

// samplesPath returns the path of the samples that belong to a page.
func samplesPath(page string) string {
	return strings.TrimSuffix(page, ".md") + ".json"
}

// ReadSamples reads the samples that belong to a page. A missing file is not an error and yields no samples.
func ReadSamples(page string) (Samples, error) {
	var s Samples
	b, err := os.ReadFile(samplesPath(page))
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, trace.Wrap(err, "read samples")
	}
	return s, trace.Wrap(json.Unmarshal(b, &s), "read samples %s", samplesPath(page))
}

func (s Samples) write(page string) error {
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(samplesPath(page), append(b, '\n'), 0o644), "write samples")
}
