package cluster

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

// authority issues certificates as PEM files.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	ca   string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = a.newKey()
	a.cert = a.sign(template, template, a.key, a.key)
	a.ca = a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns the TLS files of a process with a certificate for loopback that expires at the given time.
func (a *authority) issue(process string, until time.Time) settings.TLS {
	return a.issueFor(process, until, net.IPv4(127, 0, 0, 1))
}

// issueFor is issue for a certificate of another IP address.
func (a *authority) issueFor(process string, until time.Time, address net.IP) settings.TLS {
	key := a.newKey()
	cert := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: process}, IPAddresses: []net.IP{address},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.cert, key, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return settings.TLS{
		CA:          a.ca,
		Certificate: a.write(process+".pem", "CERTIFICATE", cert.Raw),
		Key:         a.write(process+".key", "EC PRIVATE KEY", der),
	}
}
