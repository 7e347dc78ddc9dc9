package settings

// Process holds the top-level keys that identify a process and its location.
type Process struct {
	// Name identifies the process within the whole system; a DNS label. Required.
	Name string `toml:"name"`
	// Region is the region of the VM; a DNS label. Required.
	Region string `toml:"region"`
	// DataCentre is the data centre of the VM; a DNS label. Required.
	DataCentre string `toml:"data_centre"`
	// StatusAddress is the IP address and port of the HTTP listener for /metrics and /status; empty disables it.
	StatusAddress string `toml:"status_address"`
}

func (p Process) check(m *mistakes) {
	m.label("name", p.Name)
	m.label("region", p.Region)
	m.label("data_centre", p.DataCentre)
	m.optionalBind("status_address", p.StatusAddress)
}
