package settings

// ProcessSettings returns the keys that identify the process.
func (p Process) ProcessSettings() Process {
	return p
}

func (b Balancer) LogSettings() Log {
	return b.Log
}

func (a Agent) LogSettings() Log {
	return a.Log
}
