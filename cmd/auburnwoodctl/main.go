// Command auburnwoodctl lets operators validate, apply, read, watch and delete services and explains refusals.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := app().Main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// app returns the program with the standard streams of the process.
func app() ctl.App {
	return ctl.App{
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Open:     open,
		Refusals: func(s objectapi.Store) ctl.RefusalReader { return refusal.NewReader(s) },
		Now:      time.Now,
	}
}

// callRate bounds the object API calls per second of one run, callBurst the calls in a burst. A run is short but may store
// many services.
const (
	callRate  = 50
	callBurst = 50
)

// open returns a client of the object API at a URL, with calls limited to the budget and reads retried within it.
func open(p ctl.Protocol, server string, timeout time.Duration) objectapi.Store {
	var client objectapi.Store
	switch p {
	case ctl.ProtocolPlatform:
		client = platform.NewStore(server, platform.StoreOptions{CallTimeout: timeout})
	default:
		client = objectapi.NewClient(server, objectapi.Options{CallTimeout: timeout})
	}
	return objectapi.NewBudgeted(client, objectapi.BudgetConfig{Rate: callRate, Burst: callBurst})
}
