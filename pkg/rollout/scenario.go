package rollout

import "time"

// Scenario is a course of requests and failures on which gates are compared.
type Scenario struct {
	// Name names the scenario in tables.
	Name string
	// PerMinute is the number of requests a minute of both versions together.
	PerMinute float64
	// Failing is the part of the old version's requests that fails, 0 to 1.
	Failing float64
	// Factor multiplies the rate of failures for the new version.
	Factor float64
	// SpikeFailing is the part that fails in both versions during the spike, at least.
	SpikeFailing float64
	// SpikeAfter and SpikeFor place the spike; no spike when SpikeFor is 0.
	SpikeAfter time.Duration
	SpikeFor   time.Duration
	// Noise is the standard deviation of the logarithm of a factor on both rates that changes each minute.
	Noise float64
	// Harmful is whether the new version should be rolled back.
	Harmful bool
}

// Scenarios are the courses that the default gate was chosen on, at the request volumes of the brief: a few thousand
// requests a minute down to tens.
func Scenarios() []Scenario {
	spike := Scenario{Failing: 0.001, Factor: 1, SpikeFailing: 0.05, SpikeAfter: 4 * time.Minute, SpikeFor: 6 * time.Minute}
	list := []Scenario{
		{Name: "healthy", PerMinute: 3000, Failing: 0.001, Factor: 1},
		{Name: "healthy, noisy", PerMinute: 3000, Failing: 0.001, Factor: 1, Noise: 0.7},
		{Name: "healthy", PerMinute: 300, Failing: 0.001, Factor: 1},
		{Name: "healthy", PerMinute: 30, Failing: 0.001, Factor: 1},
		spike.at("common spike", 3000),
		spike.at("common spike", 30),
		{Name: "small, x5, in budget", PerMinute: 3000, Failing: 0.00005, Factor: 5},
		{Name: "worse x2", PerMinute: 3000, Failing: 0.001, Factor: 2, Harmful: true},
		{Name: "worse x2", PerMinute: 300, Failing: 0.001, Factor: 2, Harmful: true},
		{Name: "worse x5", PerMinute: 3000, Failing: 0.001, Factor: 5, Harmful: true},
		{Name: "worse x5", PerMinute: 300, Failing: 0.001, Factor: 5, Harmful: true},
		{Name: "worse x5", PerMinute: 30, Failing: 0.001, Factor: 5, Harmful: true},
		{Name: "worse x50", PerMinute: 30, Failing: 0.001, Factor: 50, Harmful: true},
		{Name: "broken", PerMinute: 300, Failing: 0.001, Factor: 1000, Harmful: true},
		{Name: "broken", PerMinute: 30, Failing: 0.001, Factor: 1000, Harmful: true},
	}
	return list
}

func (s Scenario) at(name string, perMinute float64) Scenario {
	s.Name = name
	s.PerMinute = perMinute
	return s
}

// rates returns the parts of requests that fail at a time, for the old and the new version.
func (s Scenario) rates(at time.Duration, factor float64) (float64, float64) {
	old := s.Failing * factor
	fresh := old * s.Factor
	if at >= s.SpikeAfter && at < s.SpikeAfter+s.SpikeFor {
		old = max(old, s.SpikeFailing)
		fresh = max(fresh, s.SpikeFailing*s.Factor)
	}
	return min(old, 1), min(fresh, 1)
}
