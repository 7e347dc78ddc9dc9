package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

// global holds the options common to all commands.
type global struct {
	LogLevel string `long:"log-level" default:"disabled" value-name:"LEVEL" description:"Level of the processes' log lines on standard error"`
	Version  bool   `long:"version" description:"Print the version and exit"`
}

// env is the environment that a command runs in.
type env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	log    zerolog.Logger
}

// runner is a command with its parsed options.
type runner interface {
	run(e env) error
}

type commandInfo struct {
	name, short, long string
	data              runner
}

func commands() []commandInfo {
	return []commandInfo{
		{"demo", "Demonstrate a small installation", "Starts an installation on loopback, sends requests through it, drains and kills processes, and explains a refusal.", &demoCommand{}},
		{"control", "Check configuration changes under failures of the control plane", "Starts balancers and the control sessions of targets, lets operators change services, injects the faults and compares the reported state with the contents of the store.", &controlCommand{}},
		{"flows", "Check flows under changes and failures", "Opens flows through a fabric that sends every packet to an arbitrary balancer, injects the faults, checks every byte and prints the measurements.", &flowsCommand{}},
		{"requests", "Check requests under overload and failures", "Sends requests with tickets, with claims and with neither, injects the faults, and compares which requests ran with the responses that callers received.", &requestsCommand{}},
		{"capacity", "Measure the cost of each component by size", "Measures costs at several sizes, fits lines to them and writes the tables of docs/CAPACITY.md.", &capacityCommand{}},
		{"policy", "Compare decisions with and without individual mechanisms", "Simulates the decision packages of pass-through services in virtual time under load and faults, with all mechanisms and with single ones switched off, and prints the results for callers.", &policyCommand{}},
		{"bound", "Compute an upper bound on what any system could serve around a power loss", "Computes what a system that knew every request in advance could serve around a temporary power loss, and simulates the decisions of pass-through services for comparison.", &boundCommand{}},
		{"run", "Execute the runs of an experiment file", "Reads runs and their options from a TOML file, executes them sequentially and prints a table or JSON.", &runCommand{}},
		{"rollout", "Compare rollout gates", "Evaluates each gate on the same seeded rollouts of harmless and harmful versions, and prints its false promotions, false rollbacks and times.", &rolloutCommand{}},
		{"soak", "Run the daemon binaries under random faults", "Starts the daemons of pass-through services as processes, injects faults by signals and by proxies in front of the object API, and checks what callers and targets observe.", &soakCommand{}},
		{"standin", "Serve stand-ins for separate processes", "Serves the object API and the fabric on fixed addresses, so that daemons can be started as separate processes.", &standinCommand{}},
	}
}

// Main runs the command line and returns the exit code: 0 if all guarantees held, 1 if one was violated or the run
// failed, 2 for an invalid command line.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var g global
	p := flags.NewParser(&g, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "auburnwood-lab"
	p.SubcommandsOptional = true
	all := commands()
	for _, c := range all {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return telemetry.ExitUsage
		}
	}
	if _, err := p.ParseArgs(args); err != nil {
		return usage(err, out, errOut)
	}
	if g.Version {
		_, _ = fmt.Fprintln(out, "auburnwood-lab", telemetry.Version())
		return telemetry.ExitOK
	}
	if p.Active == nil {
		p.WriteHelp(errOut)
		return telemetry.ExitUsage
	}
	e, err := newEnv(ctx, g, out, errOut)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "auburnwood-lab:", err)
		return telemetry.ExitUsage
	}
	return exitCode(findCommand(all, p.Active.Name).run(e), errOut)
}

func findCommand(all []commandInfo, name string) runner {
	for _, c := range all {
		if c.name == name {
			return c.data
		}
	}
	return nil
}

func newEnv(ctx context.Context, g global, out, errOut io.Writer) (env, error) {
	e := env{ctx: ctx, out: out, errOut: errOut, log: zerolog.Nop()}
	if g.LogLevel == "disabled" {
		return e, nil
	}
	log, err := telemetry.NewLogger(errOut, settings.Log{Level: g.LogLevel, Format: settings.FormatJSON}, settings.Process{Name: "lab"})
	e.log = log
	return e, trace.Wrap(err)
}

func usage(err error, out, errOut io.Writer) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, f.Message)
		return telemetry.ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "auburnwood-lab:", err)
	return telemetry.ExitUsage
}

// exitCode prints err, if there is one, and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return telemetry.ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "auburnwood-lab:", trace.UserMessage(err))
	return telemetry.ExitFailure
}
