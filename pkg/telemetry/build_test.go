package telemetry

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The log of a daemon did not tell which of two builds without version control ran.
func TestBuildIsThatOfTheProgramFile(t *testing.T) {
	path, err := os.Executable()
	require.NoError(t, err)
	out, err := exec.CommandContext(t.Context(), "go", "tool", "buildid", path).Output()
	require.NoError(t, err)
	id := strings.TrimSpace(string(out))
	require.Equal(t, id[strings.LastIndexByte(id, '/')+1:], Build())
}

func TestBuildOfAnotherFileIsUnknown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "program")
	require.Equal(t, unknownVersion, buildOf(path))
	require.NoError(t, os.WriteFile(path, []byte("#!/bin/sh\n"), 0o600))
	require.Equal(t, unknownVersion, buildOf(path))
}
