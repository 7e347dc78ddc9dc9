package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

// Settings is implemented by the settings of every daemon.
type Settings interface {
	// ProcessSettings returns the keys that identify the process.
	ProcessSettings() settings.Process
	LogSettings() settings.Log
}

// Env has the dependencies that a daemon gets besides its settings.
type Env struct {
	Log zerolog.Logger
	// Scope is the root scope of the daemon's metrics.
	Scope tally.Scope
	// Status receives the function that describes the daemon's state.
	Status *Status
}

// Daemon describes a daemon with settings of type S.
type Daemon[S Settings] struct {
	// Name is the program's name.
	Name string
	// Load reads the settings from a file.
	Load func(path string) (S, error)
	// Run runs the daemon. When ctx ends, it shuts down gracefully and returns nil or context.Canceled.
	Run func(ctx context.Context, s S, env Env) error
}

// RunMain runs a daemon with the command line of the process and exits with its exit code.
func RunMain[S Settings](d Daemon[S]) {
	os.Exit(d.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// Main runs a daemon and returns its exit code. The first SIGINT or SIGTERM, or the end of ctx, starts a graceful
// shutdown; a second signal terminates the process at once. SIGHUP reloads the settings. The log goes to stdout and is
// rate-limited; mistakes in the command line and in the settings go to stderr.
func (d Daemon[S]) Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f, code, proceed := parseFlags(d.Name, args, stdout, stderr)
	if !proceed {
		return code
	}
	s, err := d.Load(f.Settings)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", d.Name, settingsMessage(err))
		return ExitUsage
	}
	if f.Check {
		fmt.Fprintf(stdout, "%s: no mistakes\n", f.Settings)
		return ExitOK
	}
	l := s.LogSettings()
	if f.LogFormat != "" {
		l.Format = f.LogFormat
	}
	w := NewLogWriter(stdout)
	defer w.Close()
	log, err := NewLogger(w, l, s.ProcessSettings())
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", d.Name, err)
		return ExitUsage
	}
	return d.run(ctx, s, log, f.Settings)
}

// settingsMessage returns the mistakes of a settings file, or why it could not be read.
func settingsMessage(err error) string {
	var e *settings.Error
	if errors.As(err, &e) {
		return e.Error()
	}
	return trace.UserMessage(err)
}

// run runs the daemon until it ends or a signal arrives.
func (d Daemon[S]) run(ctx context.Context, s S, log zerolog.Logger, path string) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	stopLogged := make(chan struct{})
	detach := context.AfterFunc(ctx, func() {
		defer close(stopLogged)
		// Restores the default action, so that a second signal terminates the process.
		stop()
		log.Warn().Str("op", "stop").Msg("stopping")
	})
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	go d.reload(ctx, hangUp, s, log, path)
	log.Warn().Str("op", "start").Str("program", d.Name).Str("version", Version()).Str("build", Build()).Msg("starting")
	err := d.serve(ctx, s, log)
	// The line "stopping" must precede the line "stopped".
	if !detach() {
		<-stopLogged
	}
	if err != nil {
		log.Error().Str("op", "stop").Err(err).Msg("failed")
		return ExitFailure
	}
	log.Warn().Str("op", "stop").Msg("stopped")
	return ExitOK
}

// reload reads the settings again at each signal. The log level takes effect at once; other keys need a restart, and the
// log line states whether any has changed. A file with mistakes changes nothing.
func (d Daemon[S]) reload(ctx context.Context, hangUp <-chan os.Signal, inForce S, log zerolog.Logger, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		}
		next, err := d.Load(path)
		if err != nil {
			log.Error().Str("op", "reload").Str("file", path).Str("mistakes", settingsMessage(err)).Msg("settings not reloaded; the previous settings remain in force")
			continue
		}
		d.setLevel(next, log)
		log.Warn().Str("op", "reload").Str("file", path).Str("level", next.LogSettings().Level).
			Bool("restart_needed", withoutLevel(next) != withoutLevel(inForce)).Msg("settings reloaded")
	}
}

// setLevel applies the log level of the settings to the whole process.
func (d Daemon[S]) setLevel(s S, log zerolog.Logger) {
	level, err := zerolog.ParseLevel(s.LogSettings().Level)
	if err != nil {
		log.Error().Err(err).Str("op", "reload").Msg("log level unchanged")
		return
	}
	zerolog.SetGlobalLevel(level)
}

// withoutLevel returns the settings without their log level as text, for comparison.
func withoutLevel(s any) string {
	v := reflect.New(reflect.TypeOf(s)).Elem()
	v.Set(reflect.ValueOf(s))
	if f := v.FieldByName("Log"); f.IsValid() {
		f.FieldByName("Level").SetZero()
	}
	return fmt.Sprintf("%+v", v.Interface())
}

// serve runs the daemon and, if configured, the status listener.
func (d Daemon[S]) serve(ctx context.Context, s S, log zerolog.Logger) error {
	p := s.ProcessSettings()
	r := NewReporter()
	scope, closer := NewScope(r, p)
	defer func() { _ = closer.Close() }()
	env := Env{Log: log, Scope: scope, Status: new(Status)}
	h := newHandler(r, func() statusResponse { return d.status(p, env.Status) })
	stopStatus, err := serveStatus(ctx, p.StatusAddress, h, log)
	if err != nil {
		return err
	}
	defer stopStatus()
	err = d.Run(ctx, s, env)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err, "running %s", d.Name)
}

// status returns the answer of /status.
func (d Daemon[S]) status(p settings.Process, s *Status) statusResponse {
	return statusResponse{
		Program:    d.Name,
		Version:    Version(),
		Build:      Build(),
		Process:    p.Name,
		Region:     p.Region,
		DataCentre: p.DataCentre,
		State:      s.value(),
	}
}

// serveStatus serves h on address; an empty address disables it. The status remains available during a graceful
// shutdown, until the returned function is called.
func serveStatus(ctx context.Context, address string, h http.Handler, log zerolog.Logger) (func(), error) {
	if address == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening for status on %s", address)
	}
	log.Warn().Str("op", "listen").Str("status_address", l.Addr().String()).Msg("serving status")
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := serve(ctx, l, h); err != nil {
			log.Error().Str("op", "listen").Err(err).Msg("status listener failed")
		}
	}()
	return func() {
		cancel()
		<-done
	}, nil
}
