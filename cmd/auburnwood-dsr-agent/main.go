// Command auburnwood-dsr-agent runs beside a target of a pass-through service and owns its flows.
package main

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/dsrd"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/platform"
)

func main() {
	telemetry.RunMain(telemetry.Daemon[settings.DSRAgent]{
		Name: "auburnwood-dsr-agent",
		Load: settings.LoadDSRAgent,
		Run:  run,
	})
}

func run(ctx context.Context, s settings.DSRAgent, env telemetry.Env) error {
	d, err := dsrd.NewAgent(s, platform.Adapter(s.ObjectAPI, env.Log, env.Scope), env)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
