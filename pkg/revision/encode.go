package revision

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// maxDecoded is the maximum size of a decompressed revision in bytes. It guards against a malformed value.
const maxDecoded = 64 << 20

// Encode returns the compressed form of a revision. Equal revisions give equal bytes.
func Encode(r resource.Revision) ([]byte, error) {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(r); err != nil {
		return nil, trace.Wrap(err, "encode revision %d", r.Number)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err, "compress revision %d", r.Number)
	}
	return buf.Bytes(), nil
}

// Decode reads the form of Encode.
func Decode(b []byte) (resource.Revision, error) {
	var r resource.Revision
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return r, trace.Wrap(err, "decompress revision")
	}
	if err := json.NewDecoder(io.LimitReader(z, maxDecoded)).Decode(&r); err != nil {
		return r, trace.Wrap(err, "decode revision")
	}
	return r, nil
}
