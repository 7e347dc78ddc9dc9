package settings

// TLS names the PEM files for mutual TLS between the processes. All three are given, or none: then control connections
// are plain TCP.
type TLS struct {
	// CA is the path of the certificate authorities that peers' certificates must chain to.
	CA string `toml:"ca"`
	// Certificate is the path of the process's own certificate chain.
	Certificate string `toml:"cert"`
	// Key is the path of the private key.
	Key string `toml:"key"`
}

// Enabled reports whether the files are named.
func (t TLS) Enabled() bool {
	return t.CA != "" && t.Certificate != "" && t.Key != ""
}

// check finds the mistakes of the section. The files themselves are read when the process starts.
func (t TLS) check(m *mistakes) {
	if t == (TLS{}) {
		return
	}
	m.required("tls.ca", t.CA)
	m.required("tls.cert", t.Certificate)
	m.required("tls.key", t.Key)
}
