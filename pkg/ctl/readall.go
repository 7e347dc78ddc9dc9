package ctl

import (
	"io"

	"github.com/gravitational/trace"
)

// readAll reads an input; it returns an error when the input exceeds MaxInputSize.
func readAll(r io.Reader, source string) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, MaxInputSize+1))
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", source)
	}
	if len(text) > MaxInputSize {
		return nil, trace.LimitExceeded("reading %s: more than %d bytes", source, MaxInputSize)
	}
	return text, nil
}
