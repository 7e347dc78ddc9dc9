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

// global are the options of every command.
type global struct {
	LogLevel string `long:"log-level" default:"disabled" value-name:"LEVEL" description:"Level of the processes' log lines on standard error"`
	Version  bool   `long:"version" description:"Print the version and exit"`
}

// env is what a command works with.
type env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	log    zerolog.Logger
}

// runner is one command with its options.
type runner interface {
	run(e env) error
}

type commandInfo struct {
	name, short, long string
	data              runner
}

func commands() []commandInfo {
	return []commandInfo{
		{"demo", "Show a small installation at work", "Starts an installation on loopback, sends requests through it, drains, kills and explains a refusal.", &demoCommand{}},
		{"control", "Run checked changes of services through failures of the control side", "Starts balancers and the control sessions of targets, lets operators change services, makes the faults and compares what was told with what the store holds.", &controlCommand{}},
		{"flows", "Run checked flows through changes and failures", "Opens flows through a fabric that sprays every packet, makes the faults, checks every byte and prints what was measured.", &flowsCommand{}},
		{"requests", "Run checked requests through overload and failures", "Sends requests with tickets, claims and neither, makes the faults, and compares what ran with what the callers were told.", &requestsCommand{}},
		{"capacity", "Measure what each part costs by its size", "Measures costs at several sizes, fits lines to them and writes the tables of docs/CAPACITY.md.", &capacityCommand{}},
		{"policy", "Compare decisions with and without single mechanisms", "Plays the decision packages of pass-through services in virtual time under loads and losses, all mechanisms against each one switched off, and prints what callers got.", &policyCommand{}},
		{"bound", "Work out what any system could serve around a loss of power", "Works out what a system that knew every request could serve when power is lost for a time, and plays the decisions of pass-through services beside it.", &boundCommand{}},
		{"run", "Make the runs of an experiment file", "Reads runs and their options from a TOML file, makes them one after another and prints a table or JSON.", &runCommand{}},
		{"rollout", "Compare the gates of rollouts", "Lets each gate judge the same seeded rollouts of harmless and harmful versions, and prints its false promotions, false rollbacks and times.", &rolloutCommand{}},
		{"soak", "Run the real programs under random faults", "Starts the daemons of pass-through services as processes, makes faults by signals and by proxies before the object API, and checks what callers and targets see.", &soakCommand{}},
		{"standin", "Serve stand-ins for separate processes", "Serves the object API and the fabric on fixed addresses, so that daemons can be started as processes of their own.", &standinCommand{}},
	}
}

// Main runs the command line and returns the exit code: 0 when every promise held, 1 when one was broken or the run
// failed, 2 for a mistake on the command line.
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
	return finish(find(all, p.Active.Name).run(e), errOut)
}

func find(all []commandInfo, name string) runner {
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

func finish(err error, errOut io.Writer) int {
	if err == nil {
		return telemetry.ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "auburnwood-lab:", trace.UserMessage(err))
	return telemetry.ExitFailure
}
