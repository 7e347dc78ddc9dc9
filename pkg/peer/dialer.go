package peer

import (
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// dialer keeps one client connection per balancer. gRPC closes the underlying connection after idleTimeout without use.
type dialer struct {
	credentials credentials.TransportCredentials
	dial        dialFunc

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// newDialer returns a dialer that counts the bytes of its connections in b; a nil dial means TCP.
func newDialer(c credentials.TransportCredentials, b *budget, dial dialFunc) *dialer {
	if dial == nil {
		dial = dialTCP
	}
	return &dialer{credentials: c, dial: dial.counted(b), conns: make(map[string]*grpc.ClientConn)}
}

// client returns a control client of the balancer at addr. It doesn't wait for the connection.
func (d *dialer) client(addr string) (peerpb.ControlClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, trace.ConnectionProblem(nil, "connect to peer %s: the dialer is closed", addr)
	}
	if c, ok := d.conns[addr]; ok {
		return peerpb.NewControlClient(c), nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, d.options()...)
	if err != nil {
		return nil, trace.Wrap(err, "connect to peer %s", addr)
	}
	d.conns[addr] = c
	return peerpb.NewControlClient(c), nil
}

func (d *dialer) options() []grpc.DialOption {
	retry := backoff.Config{BaseDelay: streamRetry, Multiplier: 2, Jitter: 0.2, MaxDelay: streamRetryMax}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(d.credentials),
		grpc.WithContextDialer(d.dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: callTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(connBuffer),
		grpc.WithWriteBufferSize(connBuffer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithUserAgent(""),
	}
}

// close closes all connections; later calls of client fail.
func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
	clear(d.conns)
	d.closed = true
}
