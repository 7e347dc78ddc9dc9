// Command auburnwood-agent runs beside a target: it terminates callers' connections and proxies them to the target.
package main

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

func main() {
	telemetry.RunMain(telemetry.Daemon[settings.Agent]{
		Name: "auburnwood-agent",
		Load: settings.LoadAgent,
		Run:  run,
	})
}

func run(ctx context.Context, s settings.Agent, env telemetry.Env) error {
	d, err := agentd.New(agentd.Options{Settings: s, Env: env})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
