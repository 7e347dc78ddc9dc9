package telemetry

import (
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

// Names of the fields of every log line of a daemon.
const (
	FieldProcess    = "process"
	FieldDataCentre = "dc"
)

// NewLogger returns a logger that writes to w. Each line has the time in milliseconds, the process and its data centre.
// It returns an error for a level that zerolog does not know.
func NewLogger(w io.Writer, l settings.Log, p settings.Process) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		return zerolog.Nop(), trace.BadParameter("log level %q is not known", l.Level)
	}
	if l.Format == settings.FormatConsole {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000", NoColor: true}
	}
	log := zerolog.New(w).Level(level).Hook(timestamp{}).With()
	return log.Str(FieldProcess, p.Name).Str(FieldDataCentre, p.DataCentre).Logger(), nil
}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timestamp is a hook that adds the time to each line without changing zerolog's global time format.
type timestamp struct{}

// Run implements zerolog.Hook.
func (timestamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	var b [len(timeFormat)]byte
	e.Bytes(zerolog.TimestampFieldName, time.Now().UTC().AppendFormat(b[:0], timeFormat))
}
