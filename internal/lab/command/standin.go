package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/store"
)

type standinCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" value-name:"ADDRESS" description:"Address of the object API"`
}

func (c *standinCommand) run(e env) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for the object API at %s", c.Listen)
	}
	s := &http.Server{Handler: store.Handler(store.New(store.Config{})), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(e.ctx, func() { _ = s.Close() })
	defer stop()
	_, _ = fmt.Fprintln(e.out, "object API at http://"+l.Addr().String())
	if err := s.Serve(l); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}
