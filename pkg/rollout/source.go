package rollout

// Source reads the counters of a service's versions.
type Source interface {
	// Read returns the counts of one version since its counters began. Counters only rise, or begin anew.
	Read(service, version string) (Counts, error)
}
