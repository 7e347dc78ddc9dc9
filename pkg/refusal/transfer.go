package refusal

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// maxTransfer bounds the uncompressed size that DecodeRecords accepts, in bytes.
const maxTransfer = 8 << 20

// EncodeRecords encodes records for transfer between processes, as gzip-compressed JSON.
func EncodeRecords(records []Record) ([]byte, error) {
	var out bytes.Buffer
	err := compressTo(&out, func(z io.Writer) error { return json.NewEncoder(z).Encode(records) })
	return out.Bytes(), trace.Wrap(err, "encode refusal records")
}

// DecodeRecords decodes the output of EncodeRecords.
func DecodeRecords(b []byte) ([]Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, trace.BadParameter("decode refusal records: %v", err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxTransfer))
	if err != nil {
		return nil, trace.BadParameter("decode refusal records: %v", err)
	}
	var records []Record
	if err := json.Unmarshal(text, &records); err != nil {
		return nil, trace.BadParameter("decode refusal records: %v", err)
	}
	return records, nil
}
