package telemetry

import (
	"debug/elf"
	"os"
	"strings"
	"sync"
)

const (
	// buildSection is the section of a program in which the Go linker notes the build.
	buildSection = ".note.go.buildid"
	// buildNoteHeader is the length of the header of that note, in bytes: three sizes, and the padded name "Go".
	buildNoteHeader = 16
)

// Build identifies the content of the running program, also where the version does not: the last part of what "go tool buildid"
// prints of its file. It is "unknown" where the program has no such note or cannot be read.
var Build = sync.OnceValue(func() string {
	path, err := os.Executable()
	if err != nil {
		return unknownVersion
	}
	return buildOf(path)
})

// buildOf returns the build of a program file.
func buildOf(path string) string {
	file, err := elf.Open(path)
	if err != nil {
		return unknownVersion
	}
	defer file.Close() //nolint:errcheck // Nothing was written.
	section := file.Section(buildSection)
	if section == nil {
		return unknownVersion
	}
	note, err := section.Data()
	if err != nil || len(note) <= buildNoteHeader {
		return unknownVersion
	}
	id := strings.TrimRight(string(note[buildNoteHeader:]), "\x00")
	return id[strings.LastIndexByte(id, '/')+1:]
}
