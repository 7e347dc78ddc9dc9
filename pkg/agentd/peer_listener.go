package agentd

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"
)

// peerListener accepts mutual TLS connections of other agents.
type peerListener struct {
	net.Listener
	config *tls.Config
	log    zerolog.Logger
}

// Accept returns the next connection without waiting for its handshake, which runs at the connection's first read, so
// that a peer that stalls its handshake doesn't block other peers.
func (l *peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: tls.Server(conn, l.config), log: l.log}, nil
}
