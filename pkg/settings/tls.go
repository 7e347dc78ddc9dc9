package settings

// TLS has the paths of the PEM files for mutual TLS between processes. Either all three are given, or none; without them,
// control connections are plain TCP.
type TLS struct {
	// CA is the path of the CA certificates to which peers' certificates must chain.
	CA string `toml:"ca"`
	// Certificate is the path of the process's own certificate chain.
	Certificate string `toml:"cert"`
	// Key is the path of the private key.
	Key string `toml:"key"`
}

// Enabled reports whether all three paths are set.
func (t TLS) Enabled() bool {
	return t.CA != "" && t.Certificate != "" && t.Key != ""
}

// check checks the paths only; the files are read when the process starts.
func (t TLS) check(m *mistakes) {
	if t == (TLS{}) {
		return
	}
	m.required("tls.ca", t.CA)
	m.required("tls.cert", t.Certificate)
	m.required("tls.key", t.Key)
}
