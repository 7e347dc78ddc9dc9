// Package estimate estimates times and rates from observations, for limits that no setting can provide: the work time
// of a target, the round trip to callers, the time of an answer. It does no I/O and reads no clock.
package estimate

import "time"

const (
	// weight is the minimum weight of a new sample, which averages over about the last ten.
	weight = 0.1
	// deviationWeight is the weight of a new sample of the deviation, and deviations the number of deviations above the
	// mean at which an answer is overdue, as for retransmissions in RFC 6298.
	deviationWeight = 0.25
	deviations      = 4
)

// Mean is an exponentially weighted mean, in which the first ten samples weigh equally. The zero value has no sample.
type Mean struct {
	value time.Duration
	count int
}

func (m *Mean) Add(sample time.Duration) {
	m.count++
	m.value += time.Duration(max(weight, 1/float64(m.count)) * float64(sample-m.value))
}

func (m *Mean) HasSample() bool { return m.count > 0 }

// ValueOr returns the mean, or the start value when there is no sample.
func (m *Mean) ValueOr(start time.Duration) time.Duration {
	if m.count == 0 {
		return start
	}
	return m.value
}

// Answer estimates the time of an answer, its mean and deviation. The zero value has no sample.
type Answer struct {
	mean      Mean
	deviation time.Duration
}

// Add adds the time that an answer took.
func (a *Answer) Add(sample time.Duration) {
	if !a.mean.HasSample() {
		a.deviation = sample / 2
	} else {
		off := (sample - a.mean.value).Abs()
		a.deviation += time.Duration(deviationWeight * float64(off-a.deviation))
	}
	a.mean.Add(sample)
}

// Mean returns the mean, or the start value when there is no sample.
func (a *Answer) Mean(start time.Duration) time.Duration { return a.mean.ValueOr(start) }

// Timeout returns the time after which an answer is overdue, or the start value when there is no sample.
func (a *Answer) Timeout(start time.Duration) time.Duration {
	if !a.mean.HasSample() {
		return start
	}
	return a.mean.value + deviations*a.deviation
}
