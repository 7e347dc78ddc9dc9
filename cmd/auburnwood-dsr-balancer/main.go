// Command auburnwood-dsr-balancer forwards callers' packets of pass-through services to agents.
package main

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/dsrd"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/platform"
)

func main() {
	telemetry.RunMain(telemetry.Daemon[settings.DSRBalancer]{
		Name: "auburnwood-dsr-balancer",
		Load: settings.LoadDSRBalancer,
		Run:  run,
	})
}

func run(ctx context.Context, s settings.DSRBalancer, env telemetry.Env) error {
	d, err := dsrd.NewBalancer(s, platform.Adapter(s.ObjectAPI, env.Log, env.Scope), env)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
