package agent

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// echoHandler echoes the caller's bytes without using the target.
type echoHandler struct {
	served atomic.Pointer[flow.Key]
}

func (e *echoHandler) ServeFlow(ctx context.Context, conn net.Conn, key flow.Key) {
	e.served.Store(&key)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func TestRequestFlowsGoToTheHandler(t *testing.T) {
	l := newHarness(t, streamSpec())
	h := &echoHandler{}
	l.startWith(Config{TargetAddress: netip.MustParseAddrPort("127.0.0.1:1"), RequestHandler: h}, Deps{Log: zerolog.Nop()})
	spec := streamSpec()
	spec.Mode = resource.ModeRequest
	l.setService(spec)
	conn := l.mustDial(serviceIP)
	exchange(t, conn)
	require.Equal(t, conn.LocalAddr().String(), h.served.Load().Source.String())
	require.Equal(t, 1, l.agents[0].OpenFlows())
	require.NoError(t, conn.Close())
	eventually(t, func() bool { return l.agents[0].OpenFlows() == 0 }, "flow ends")
}

func TestDrainIsAnnouncedOnce(t *testing.T) {
	announced := 0
	l := newHarness(t, streamSpec())
	a := l.startWith(Config{TargetAddress: netip.MustParseAddrPort("127.0.0.1:1")},
		Deps{Log: zerolog.Nop(), OnDraining: func() { announced++ }})
	l.setService(streamSpec())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a.Drain(ctx)
	a.Drain(ctx)
	require.Equal(t, 1, announced)
	require.NoError(t, ctx.Err(), "a drain without flows does not wait")
}
