package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

const programName = "auburnwoodctl"

// RefusalReader queries refusal records. It is implemented by refusal.Reader.
type RefusalReader interface {
	Find(ctx context.Context, q refusal.Query) (refusal.QueryResult, error)
}

// App runs the commands of auburnwoodctl.
type App struct {
	// Stdin, Stdout and Stderr are the streams of the process.
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Open returns a client of the object API at the URL server for protocol p. Each call has the timeout.
	Open func(p Protocol, server string, timeout time.Duration) objectapi.Store
	// Refusals returns a reader of the refusal records in a store.
	Refusals func(objectapi.Store) RefusalReader
	// Now is the clock.
	Now func() time.Time
}

// globalFlags are the options of every command.
type globalFlags struct {
	Server   string        `long:"server" env:"AUBURNWOOD_SERVER" value-name:"URL" description:"Base URL of the object API"`
	Protocol Protocol      `long:"protocol" env:"AUBURNWOOD_PROTOCOL" choice:"object-api" choice:"platform" default:"object-api" description:"What the server speaks"`
	Timeout  time.Duration `long:"timeout" default:"10s" value-name:"TIME" description:"Longest time of one call"`
	Output   string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
	Version  bool          `long:"version" description:"Print the version and exit"`
}

// command is one command with its options.
type command interface {
	run(ctx context.Context, s *session) error
}

// commandInfo is a command and its help texts.
type commandInfo struct {
	name, short, long string
	data              command
}

// commands returns every command with unset options.
func commands() []commandInfo {
	return []commandInfo{
		{"validate", "Check services without a server", "Reads services from files, or from standard input for \"-\", and reports every mistake with its field.", &validateCommand{}},
		{"apply", "Create or replace services", "Reads services from files, or from standard input for \"-\", and stores each by a conditional write. Nothing is written when any document has a mistake.", &applyCommand{}},
		{"get", "Show objects", "Shows services with their status, or the objects of another kind.", &getCommand{}},
		{"watch", "Follow changes", "Prints the objects of a kind and then each change.", &watchCommand{}},
		{"delete", "Delete services", "Deletes services by name.", &deleteCommand{}},
		{"evacuate", "Send no new work to data centres", "Declares that the targets of data centres take no new flows and requests until restore; open flows stay.", &evacuateCommand{}},
		{"restore", "Use evacuated data centres again", "Withdraws evacuations.", &restoreCommand{}},
		{"explain", "Say why callers were refused", "Finds refusal records by caller, service, reason and time.", &explainCommand{}},
	}
}

// Main runs the command line args and returns the exit code.
func (a App) Main(ctx context.Context, args []string) int {
	var g globalFlags
	p := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	if _, err := p.AddGroup("Options of every command", "", &g); err != nil {
		return a.fail(err)
	}
	all := commands()
	for _, c := range all {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return a.fail(err)
		}
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(a.Stdout, fe.Message)
		return ExitOK
	}
	if err != nil {
		return a.fail(&usageError{reason: err.Error() + "\nTry --help."})
	}
	if g.Version {
		fmt.Fprintln(a.Stdout, programName, telemetry.Version())
		return ExitOK
	}
	c := find(all, p.Active)
	if c == nil {
		return a.fail(&usageError{reason: "a command is required\nTry --help."})
	}
	if len(rest) > 0 {
		return a.fail(&usageError{reason: "unexpected argument " + strconv.Quote(rest[0])})
	}
	return a.fail(c.run(ctx, &session{app: a, flags: g}))
}

// find returns the active command, or nil when there is none.
func find(all []commandInfo, active *flags.Command) command {
	if active == nil {
		return nil
	}
	for _, c := range all {
		if c.name == active.Name {
			return c.data
		}
	}
	return nil
}

// fail prints err, unless it is nil, and returns its exit code.
func (a App) fail(err error) int {
	if err != nil {
		fmt.Fprintf(a.Stderr, "%s: %s\n", programName, trace.UserMessage(err))
	}
	return exitCode(err)
}
