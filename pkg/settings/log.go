package settings

import "github.com/rs/zerolog"

// Log configures the logger.
type Log struct {
	// Level is "trace", "debug", "info", "warn" or "error". Default "info".
	Level string `toml:"level"`
	// Format is "json" or "console". Default "json".
	Format string `toml:"format"`
}

// Log formats.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

func DefaultLog() Log {
	return Log{Level: zerolog.LevelInfoValue, Format: FormatJSON}
}

func (l Log) check(m *mistakes) {
	m.oneOf("log.level", l.Level, zerolog.LevelTraceValue, zerolog.LevelDebugValue, zerolog.LevelInfoValue, zerolog.LevelWarnValue, zerolog.LevelErrorValue)
	m.oneOf("log.format", l.Format, FormatJSON, FormatConsole)
}
