package settings

// ProcessSettings returns the keys that name the process.
func (p Process) ProcessSettings() Process {
	return p
}

// LogSettings returns the log section.
func (b Balancer) LogSettings() Log {
	return b.Log
}

// LogSettings returns the log section.
func (a Agent) LogSettings() Log {
	return a.Log
}
