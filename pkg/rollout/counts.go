package rollout

// Counts are the requests of one version within a period, as observed by the agents.
type Counts struct {
	// Requests is the number of requests that ended, refused ones included.
	Requests uint64 `json:"requests"`
	// Failures is the number of those that were refused or failed.
	Failures uint64 `json:"failures"`
}

// Rate returns the fraction of requests that failed, 0 to 1; 0 without requests.
func (c Counts) Rate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

func (c Counts) Plus(d Counts) Counts {
	return Counts{Requests: c.Requests + d.Requests, Failures: c.Failures + d.Failures}
}

// highest returns the maximum of each counter.
func (c Counts) highest(d Counts) Counts {
	return Counts{Requests: max(c.Requests, d.Requests), Failures: max(c.Failures, d.Failures)}
}

// Since returns what was counted after an earlier reading, and false when a counter was reset in between.
func (c Counts) Since(earlier Counts) (Counts, bool) {
	if c.Requests < earlier.Requests || c.Failures < earlier.Failures {
		return Counts{}, false
	}
	return Counts{Requests: c.Requests - earlier.Requests, Failures: c.Failures - earlier.Failures}, true
}
