package telemetry

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

func TestLoggerWritesProcessAndTime(t *testing.T) {
	var b bytes.Buffer
	log, err := NewLogger(&b, settings.DefaultLog(), settings.Process{Name: "b1", DataCentre: "dc"})
	require.NoError(t, err)
	log.Debug().Msg("hidden")
	log.Info().Str("op", "x").Msg("shown")
	var line map[string]string
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	at, err := time.Parse(time.RFC3339, line["time"])
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), at, time.Hour)
	delete(line, "time")
	require.Equal(t, map[string]string{"level": "info", "process": "b1", "dc": "dc", "op": "x", "message": "shown"}, line)
}

func TestLoggerRejectsUnknownLevel(t *testing.T) {
	_, err := NewLogger(&bytes.Buffer{}, settings.Log{Level: "loud"}, settings.Process{})
	require.ErrorContains(t, err, "loud")
}
