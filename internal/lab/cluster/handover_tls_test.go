package cluster

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

// Headers of requests between agents.
const (
	headerHop     = "Auburnwood-Hop"
	headerKind    = "Auburnwood-Hop-Kind"
	headerService = "Auburnwood-Service"
)

// newSecureRequestLab starts an installation in request mode whose processes use the given TLS files.
func newSecureRequestLab(t *testing.T, log *logBuffer, files func(process string) settings.TLS) *requestLab {
	return newRequestLab(t, func(c *flows.ClusterConfig) {
		c.Log = zerolog.New(log)
		c.TLS = files
	})
}

// forwarded returns how many tickets agents forwarded to the issuer and had answered.
func (l *requestLab) forwarded() int64 {
	if c := l.c.scope.Snapshot().Counters()["request_forward+"]; c != nil {
		return c.Value()
	}
	return 0
}

// controlAddress returns the control address of an agent from that agent's own view.
func (l *requestLab) controlAddress(id string) string {
	l.t.Helper()
	agent, err := l.c.find(id)
	require.NoError(l.t, err)
	for _, x := range agent.view.Load().Targets {
		if x.ID == id {
			return x.Control
		}
	}
	l.t.Fatalf("agent %s isn't in its own view", id)
	return ""
}

// submitNew submits a new ticket over a new connection and reports whether an agent forwarded it to the issuer.
func (l *requestLab) submitNew(id string) (r reply, issuer string, passedOn bool) {
	l.t.Helper()
	text := l.tickets(l.caller(http1), routeService, 1)[0]
	before := l.forwarded()
	r = l.ask(l.caller(http1), http.MethodPost, routeService, work(id, time.Millisecond), request.HeaderTicket, text)
	return r, l.issuer(text).id, l.forwarded() > before
}

// tlsClient returns an HTTP client that presents a certificate and trusts only the CA in files.
func tlsClient(t *testing.T, files settings.TLS) *http.Client {
	t.Helper()
	config, err := peer.TLSConfig{CA: files.CA, Cert: files.Certificate, Key: files.Key}.Load()
	require.NoError(t, err)
	return client(t, &http.Transport{TLSClientConfig: config})
}

func client(t *testing.T, transport *http.Transport) *http.Client {
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: waitTimeout}
}

// unverifiedClient returns a client that accepts any server certificate and presents the given ones.
func unverifiedClient(t *testing.T, certificates ...tls.Certificate) *http.Client {
	config := &tls.Config{InsecureSkipVerify: true, Certificates: certificates}
	return client(t, &http.Transport{TLSClientConfig: config})
}

func loadPair(t *testing.T, files settings.TLS) tls.Certificate {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	require.NoError(t, err)
	return pair
}

// queryLoad asks an agent for its load, as another agent does.
func queryLoad(c *http.Client, scheme, address string) (reply, error) {
	return ask(c, http.MethodGet, scheme+"://"+address+"/",
		headerHop, "1", headerKind, "load", headerService, routeService)
}

func TestTicketForwardedOverTLS(t *testing.T) {
	own := newAuthority(t)
	var log logBuffer
	l := newSecureRequestLab(t, &log, func(process string) settings.TLS {
		return own.issue(process, time.Now().Add(time.Hour))
	})
	tries := 0
	require.Eventually(t, func() bool {
		tries++
		id := fmt.Sprintf("secure-%d", tries)
		r, _, passedOn := l.submitNew(id)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Empty(t, r.header.Get(request.HeaderRepeated))
		require.Equal(t, 1, l.ran(id))
		return passedOn
	}, waitTimeout, time.Millisecond, "a ticket is submitted at another agent than its issuer")
	require.False(t, log.hasLine(0, `"peer refused"`))
}

func TestControlAddressAnswersAgentsOnly(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	until := time.Now().Add(time.Hour)
	var log logBuffer
	l := newSecureRequestLab(t, &log, func(process string) settings.TLS { return own.issue(process, until) })
	issuer := l.issuer(l.tickets(l.caller(http1), routeService, 1)[0])
	address := l.controlAddress(issuer.id)
	r, err := queryLoad(tlsClient(t, own.issue("agent", until)), "https", address)
	require.NoError(t, err, "a client with a valid certificate is answered")
	require.Equal(t, http.StatusNoContent, r.status)

	for _, x := range []struct {
		name, scheme string
		client       *http.Client
	}{
		{"plain", "http", client(t, &http.Transport{})},
		{"no certificate", "https", unverifiedClient(t)},
		{"foreign authority", "https", unverifiedClient(t, loadPair(t, other.issue("foreign", until)))},
		{"expired", "https", unverifiedClient(t, loadPair(t, own.issue("expired", time.Now().Add(-time.Hour))))},
	} {
		mark := log.mark()
		r, err := queryLoad(x.client, x.scheme, address)
		require.Error(t, err, "%s: answered with status %d", x.name, r.status)
		require.False(t, timedOut(err), "%s: %v", x.name, err)
		require.Eventually(t, func() bool {
			return log.hasLine(mark, `"peer refused"`, `"op":"accept peer"`, `"process":"`+issuer.id+`"`)
		}, waitTimeout, time.Millisecond, "%s: the refusal is logged", x.name)
	}
	requireNoHTTPAnswer(t, address)
}

// requireNoHTTPAnswer sends a plain HTTP request and requires the connection to end without an answer.
func requireNoHTTPAnswer(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: %s\r\n%s: load\r\n\r\n", address, headerKind)
	require.NoError(t, err)
	answer := make([]byte, 64)
	n, err := conn.Read(answer)
	require.Error(t, err, "answered with %q", answer[:n])
	require.False(t, timedOut(err), "the connection stays open")
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// TestAgentCertificateForAnotherAddressRefused guards against forwarding a ticket to an agent whose certificate is not
// valid for the address in the view.
func TestAgentCertificateForAnotherAddressRefused(t *testing.T) {
	const misnamed = "route-svc-03"
	own := newAuthority(t)
	until := time.Now().Add(time.Hour)
	var log logBuffer
	l := newSecureRequestLab(t, &log, func(process string) settings.TLS {
		if process == misnamed {
			return own.issueFor(process, until, net.IPv4(127, 0, 0, 9))
		}
		return own.issue(process, until)
	})
	_, err := l.c.find(misnamed)
	require.NoError(t, err)
	tries := 0
	require.Eventually(t, func() bool {
		tries++
		id := fmt.Sprintf("misnamed-%d", tries)
		r, issuer, passedOn := l.submitNew(id)
		if issuer != misnamed || !passedOn {
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, 1, l.ran(id))
			return false
		}
		p := r.problem(t)
		require.Equal(t, refusal.ReasonTicketGone, p.Reason)
		require.Zero(t, l.ran(id))
		return true
	}, waitTimeout, time.Millisecond, "a ticket of the agent is submitted at another")
	require.True(t, log.hasLine(0, `"peer refused"`, `"op":"call peer"`))
}
