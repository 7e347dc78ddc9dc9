package telemetry

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// daemonFlags are the command line options of a daemon.
type daemonFlags struct {
	Settings  string `long:"settings" short:"s" env:"AUBURNWOOD_SETTINGS" value-name:"FILE" description:"TOML file with the settings"`
	Check     bool   `long:"check" description:"Check the settings, report every mistake, and exit"`
	LogFormat string `long:"log-format" choice:"json" choice:"console" description:"Format of the log; replaces log.format of the settings"`
	Version   bool   `long:"version" description:"Print the version and exit"`
}

// parseFlags parses the command line. When proceed is false, the program must exit with code.
func parseFlags(name string, args []string, stdout, stderr io.Writer) (f daemonFlags, code int, proceed bool) {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = "--settings FILE [options]"
	if _, err := p.AddGroup("Options", "", &f); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return f, ExitFailure, false
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, fe.Message)
		return f, ExitOK, false
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err == nil && f.Version {
		fmt.Fprintln(stdout, name, Version(), "build", Build())
		return f, ExitOK, false
	}
	if err == nil && f.Settings == "" {
		err = errors.New("--settings FILE is required")
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\nTry --help.\n", name, err)
		return f, ExitUsage, false
	}
	return f, ExitOK, true
}
