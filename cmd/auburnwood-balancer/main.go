// Command auburnwood-balancer receives packets from the fabric and forwards them to the agents beside the targets.
package main

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/balancerd"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

func main() {
	telemetry.RunMain(telemetry.Daemon[settings.Balancer]{
		Name: "auburnwood-balancer",
		Load: settings.LoadBalancer,
		Run:  run,
	})
}

func run(ctx context.Context, s settings.Balancer, env telemetry.Env) error {
	d, err := balancerd.New(balancerd.Options{Settings: s, Env: env})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
