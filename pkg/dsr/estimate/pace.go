package estimate

import "time"

const (
	// paceInterval is the minimum time between two samples of a pace. A reported work time averages over the last
	// requests, so that reports in quick succession are not independent.
	paceInterval = time.Second
	// paceWeight is the minimum weight of a new sample, paceMemory the number of samples that this averages over.
	paceWeight = 0.05
	paceMemory = 2/paceWeight - 1
	// minPaceSamples is the number of samples from which a pace counts.
	minPaceSamples = 3
	// maxPace bounds a sample: a target that hangs for a moment has no pace.
	maxPace = 4
)

// Pace is the work time of a target as a multiple of that of its service's typical target. It has a long memory, so
// that a target without requests keeps its pace. The zero value has no sample.
type Pace struct {
	mean, variance float64
	count          int
	at             time.Time
}

// Add adds a sample, unless the last one is more recent than paceInterval.
func (p *Pace) Add(now time.Time, workTime, typical time.Duration) {
	if workTime <= 0 || typical <= 0 || p.count > 0 && now.Sub(p.at) < paceInterval {
		return
	}
	p.count++
	p.at = now
	w := max(paceWeight, 1/float64(p.count))
	off := min(float64(workTime)/float64(typical), maxPace) - p.mean
	p.mean += w * off
	p.variance = (1 - w) * (p.variance + w*off*off)
}

// known reports whether there are enough samples.
func (p *Pace) known() bool { return p.count >= minPaceSamples }

// squaredError is the squared standard error of the mean.
func (p *Pace) squaredError() float64 {
	return p.variance / (min(float64(p.count), paceMemory) - 1)
}

const (
	// minPaceTargets is the minimum number of targets whose paces are compared.
	minPaceTargets = 3
	// paceSignificance and paceSignificanceOfFew decide how many times the variance that is due to chance the paces
	// must have to count as different: with n targets, paceSignificance + paceSignificanceOfFew/n.
	paceSignificance      = 3
	paceSignificanceOfFew = 12
	// minPaceDeviation is the standard deviation of the paces below which differences do not matter.
	minPaceDeviation = 0.05
)

// Paces compares the paces of a service's targets, to tell differences between targets from chance. The zero value is
// empty.
type Paces struct {
	count                int
	sum, squares, errors float64
}

// Add adds the pace of a target; one with too few samples is ignored.
func (s *Paces) Add(p *Pace) {
	if !p.known() {
		return
	}
	s.count++
	s.sum += p.mean
	s.squares += p.mean * p.mean
	s.errors += p.squaredError()
}

// Reliability returns the share of the paces' variance that is due to the targets, and 0 when all of it may be due to
// chance: the factor of empirical Bayes shrinkage.
func (s *Paces) Reliability() float64 {
	if s.count < minPaceTargets {
		return 0
	}
	n := float64(s.count)
	variance := (s.squares - s.sum*s.sum/n) / (n - 1)
	chance := s.errors / n
	if variance < minPaceDeviation*minPaceDeviation || variance < (paceSignificance+paceSignificanceOfFew/n)*chance {
		return 0
	}
	return 1 - chance/variance
}

// Factor returns the multiple of the typical work time that is expected of a target, given the reliability of the
// comparison; 1 for a target with too few samples.
func (s *Paces) Factor(p *Pace, reliability float64) float64 {
	if reliability == 0 || !p.known() {
		return 1
	}
	return 1 + reliability*(p.mean*float64(s.count)/s.sum-1)
}
