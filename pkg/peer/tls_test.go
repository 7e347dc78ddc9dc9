package peer

import (
	"bytes"
	"context"
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
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// authority is a certificate authority for tests.
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

// issue writes a certificate for 127.0.0.1 that is valid until the given time, and returns its files.
func (a *authority) issue(name string, until time.Time) TLSConfig {
	key := a.newKey()
	cert := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.cert, key, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return TLSConfig{CA: a.ca, Cert: a.write(name+".pem", "CERTIFICATE", cert.Raw), Key: a.write(name+".key", "EC PRIVATE KEY", der)}
}

// lockedBuffer is a buffer for log lines that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	later := time.Now().Add(time.Hour)
	nodes := startNodes(t, 3, func(_ int, c *NodeConfig) { c.TLS = a.issue(c.Self.ID, later) })
	nodes[0].adopter.Offer(routeRevision(1, "route-svc"), revision.SourceHead)
	agent := startSession(t, "t0", addrsOf(nodes), func(c *SessionConfig) { c.TLS = a.issue("t0", later) })
	eventually(t, "view over TLS", func() bool { v := agent.view("route-svc"); return v != nil && len(v.Targets) == 1 })
	for _, n := range nodes {
		eventually(t, "members over TLS", func() bool { return n.state("t0") == membership.StateActive })
	}
}

func TestPeersWithoutValidCertificateAreRefused(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	var log lockedBuffer
	node := startNode(t, "b0", func(c *NodeConfig) {
		c.TLS = a.issue("b0", later)
		c.Log = zerolog.New(&log)
	})
	foreign := other.issue("foreign", later)
	foreign.CA = a.ca
	cases := map[string]TLSConfig{
		"no TLS":             {},
		"unknown authority":  foreign,
		"expired":            a.issue("expired", time.Now().Add(-time.Hour)),
		"distrusts balancer": other.issue("distrusting", later),
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			before := log.String()
			creds, err := newCredentials(config, zerolog.Nop())
			require.NoError(t, err)
			d := newDialer(creds, newBudget(DefaultBudget, time.Now, node.cfg.Metrics), nil)
			defer d.close()
			s := newSelf(fleetMember("intruder", membership.RoleAgent, 1), time.Now)
			_, err = announce(context.Background(), d, s, node.Addr().String())
			require.ErrorContains(t, err, node.Addr().String())
			require.Zero(t, node.state("intruder"))
			eventually(t, "refusal is logged", func() bool {
				return bytes.Contains([]byte(log.String()[len(before):]), []byte("peer refused"))
			})
		})
	}
}

func TestInvalidTLSFilesAreRejected(t *testing.T) {
	a := newAuthority(t)
	valid := a.issue("b0", time.Now().Add(time.Hour))
	junk := a.write("junk.pem", "SOMETHING", []byte("x"))
	cases := map[string]func(c *TLSConfig){
		"no CA":                func(c *TLSConfig) { c.CA = "" },
		"no certificate":       func(c *TLSConfig) { c.Cert = "" },
		"no key":               func(c *TLSConfig) { c.Key = "" },
		"CA file without cert": func(c *TLSConfig) { c.CA = junk },
		"key of another cert":  func(c *TLSConfig) { c.Key = a.issue("b1", time.Now()).Key },
		"missing file":         func(c *TLSConfig) { c.CA = filepath.Join(a.dir, "none.pem") },
		"file without cert":    func(c *TLSConfig) { c.Cert = junk },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			c := valid
			change(&c)
			_, err := newCredentials(c, zerolog.Nop())
			require.Error(t, err)
		})
	}
}
