package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// TLSConfig names the PEM files for mutual TLS. With all fields empty, connections aren't encrypted.
type TLSConfig struct {
	// CA is the file with the certificates of the authorities that sign the peers' certificates.
	CA string
	// Cert and Key are the files with this process's certificate and private key.
	Cert string
	Key  string
	// ServerName is the name that balancers' certificates carry; empty means the IP address that is called.
	ServerName string
}

// enabled reports whether mutual TLS is configured.
func (c TLSConfig) enabled() bool {
	return c.CA != "" || c.Cert != "" || c.Key != ""
}

// Load returns a configuration for both sides of a mutual TLS connection: a server requires and verifies a client
// certificate, a client verifies the server's. It returns nil when no files are named, and an error when one is missing
// or invalid.
func (c TLSConfig) Load() (*tls.Config, error) {
	if !c.enabled() {
		return nil, nil
	}
	config, err := c.load()
	if err != nil {
		return nil, trace.Wrap(err, "load TLS settings")
	}
	return config, nil
}

func (c TLSConfig) load() (*tls.Config, error) {
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, trace.ConvertSystemError(trace.Wrap(err, "read CA file %q", c.CA))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("CA file %q holds no certificate", c.CA)
	}
	cert, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return nil, trace.Wrap(err, "read certificate %q and key %q", c.Cert, c.Key)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   c.ServerName,
	}, nil
}
