package settings

// Process holds the keys that name a process and its place; they stand at the top level of the file.
type Process struct {
	// Name identifies the process among all processes of the system; it is a DNS label. Required.
	Name string `toml:"name"`
	// Region is the region of the VM; a DNS label. Required.
	Region string `toml:"region"`
	// DataCentre is the data centre of the VM; a DNS label. Required.
	DataCentre string `toml:"data_centre"`
	// StatusAddress is the IP address and port of the HTTP listener for /metrics and /status; empty switches it off.
	StatusAddress string `toml:"status_address"`
}

// check finds the mistakes of the process keys.
func (p Process) check(m *mistakes) {
	m.label("name", p.Name)
	m.label("region", p.Region)
	m.label("data_centre", p.DataCentre)
	m.optionalBind("status_address", p.StatusAddress)
}
