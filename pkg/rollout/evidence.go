package rollout

import (
	"slices"
	"time"
)

// Evidence is what was observed of both versions during one step, over the same period.
type Evidence struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
	// Past holds the counts of earlier steps of the same rollout.
	Past []StepCounts `json:"past,omitempty"`
	// Elapsed is the time since the step began.
	Elapsed time.Duration `json:"elapsed"`
}

// StepCounts are the counts of both versions over one step, in which the weights stayed the same.
type StepCounts struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

// Next returns the evidence at the beginning of the following step.
func (e Evidence) Next() Evidence {
	return Evidence{Past: append(slices.Clone(e.Past), e.counts())}
}

// Add returns the evidence with the counts of a further period.
func (e Evidence) Add(d StepCounts, elapsed time.Duration) Evidence {
	e.Old = e.Old.Plus(d.Old)
	e.New = e.New.Plus(d.New)
	e.Elapsed = elapsed
	return e
}

func (e Evidence) counts() StepCounts { return StepCounts{Old: e.Old, New: e.New} }
