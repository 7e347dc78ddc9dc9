// Package estimate learns times from what is observed, for limits that no setting can know: the work of a target, the round trip
// to callers, the time of an answer. It does no input or output and reads no clock.
package estimate

import "time"

const (
	// weight is the weight of a new sample once there are enough: an average over the last ten or so.
	weight = 0.1
	// deviationWeight is that of a sample of the deviation, and deviations the number of deviations above the mean that an answer
	// may take, as RFC 6298 has them for retransmissions.
	deviationWeight = 0.25
	deviations      = 4
)

// Mean is the mean of the last samples. The first sample replaces the start value at once, the next ones weigh equally. The zero
// value has no sample.
type Mean struct {
	value time.Duration
	count int
}

// Add takes a sample.
func (m *Mean) Add(sample time.Duration) {
	m.count++
	m.value += time.Duration(max(weight, 1/float64(m.count)) * float64(sample-m.value))
}

// HasSample reports whether there was a sample.
func (m *Mean) HasSample() bool { return m.count > 0 }

// ValueOr returns the mean, or the start value when there was no sample.
func (m *Mean) ValueOr(start time.Duration) time.Duration {
	if m.count == 0 {
		return start
	}
	return m.value
}

// Latency learns how long answers take. The zero value has no sample.
type Latency struct {
	mean      Mean
	deviation time.Duration
}

// Add takes the time of an answer.
func (a *Latency) Add(sample time.Duration) {
	if !a.mean.HasSample() {
		a.deviation = sample / 2
	} else {
		off := (sample - a.mean.value).Abs()
		a.deviation += time.Duration(deviationWeight * float64(off-a.deviation))
	}
	a.mean.Add(sample)
}

// Mean returns the mean, or the start value when there was no sample.
func (a *Latency) Mean(start time.Duration) time.Duration { return a.mean.ValueOr(start) }

// Timeout returns the time after which an answer is overdue, or the start value when there was no sample.
func (a *Latency) Timeout(start time.Duration) time.Duration {
	if !a.mean.HasSample() {
		return start
	}
	return a.mean.value + deviations*a.deviation
}
