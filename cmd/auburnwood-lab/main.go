// Command auburnwood-lab runs auburnwood on loopback with stand-ins for outside systems: the demo, fault tests and
// measurements.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/auburnwood/auburnwood/internal/lab/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
