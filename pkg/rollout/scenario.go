package rollout

import "time"

// Scenario describes the request and failure rates of a simulated rollout.
type Scenario struct {
	// Name names the scenario in tables.
	Name string
	// PerMinute is the number of requests a minute of both versions together.
	PerMinute float64
	// Failing is the fraction of the old version's requests that fails, 0 to 1.
	Failing float64
	// Factor is the ratio of the new version's failure rate to the old version's.
	Factor float64
	// SpikeFailing is the minimum failure rate of the old version during the spike; that of the new version is Factor
	// times as high.
	SpikeFailing float64
	// SpikeAfter and SpikeFor are the start and duration of the spike; there is none when SpikeFor is 0.
	SpikeAfter time.Duration
	SpikeFor   time.Duration
	// Noise is the standard deviation of the logarithm of a factor that is drawn each minute and applied to both rates.
	Noise float64
	// Harmful is whether the new version should be rolled back.
	Harmful bool
}

// Scenarios returns the scenarios of DefaultComparison, with request volumes from a few thousand a minute down to tens.
func Scenarios() []Scenario {
	spike := Scenario{Failing: 0.001, Factor: 1, SpikeFailing: 0.05, SpikeAfter: 4 * time.Minute, SpikeFor: 6 * time.Minute}
	list := []Scenario{
		{Name: "healthy", PerMinute: 3000, Failing: 0.001, Factor: 1},
		{Name: "healthy, noisy", PerMinute: 3000, Failing: 0.001, Factor: 1, Noise: 0.7},
		{Name: "healthy", PerMinute: 300, Failing: 0.001, Factor: 1},
		{Name: "healthy", PerMinute: 30, Failing: 0.001, Factor: 1},
		spike.withVolume("common spike", 3000),
		spike.withVolume("common spike", 30),
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

func (s Scenario) withVolume(name string, perMinute float64) Scenario {
	s.Name = name
	s.PerMinute = perMinute
	return s
}

// rates returns the failure rates of the old and the new version at a time.
func (s Scenario) rates(at time.Duration, factor float64) (float64, float64) {
	old := s.Failing * factor
	fresh := old * s.Factor
	if at >= s.SpikeAfter && at < s.SpikeAfter+s.SpikeFor {
		old = max(old, s.SpikeFailing)
		fresh = max(fresh, s.SpikeFailing*s.Factor)
	}
	return min(old, 1), min(fresh, 1)
}
