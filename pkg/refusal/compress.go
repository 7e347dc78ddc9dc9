package refusal

import (
	"compress/gzip"
	"io"
	"sync"
)

// compressors are reused because each takes several hundred kilobytes.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// compressTo calls f with a writer that compresses to out.
func compressTo(out io.Writer, f func(io.Writer) error) error {
	z := compressors.Get().(*gzip.Writer)
	defer compressors.Put(z)
	z.Reset(out)
	if err := f(z); err != nil {
		return err
	}
	return z.Close()
}
