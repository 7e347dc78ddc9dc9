package refusal

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Limits of a batch, in bytes.
const (
	// targetBatchSize is the compressed size at which a batch is closed. The compressor may buffer some tens of
	// kilobytes more, so an object stays well below objectapi.MaxValueSize.
	targetBatchSize = 256 << 10
	// maxBatchText is the uncompressed size at which a batch is closed.
	maxBatchText = 8 << 20
	// maxBatchRead bounds the uncompressed size that a reader accepts, with room for the last record.
	maxBatchRead = maxBatchText + 1<<20
	// maxDetail and maxField bound the text fields of one record.
	maxDetail = 1024
	maxField  = 256
)

// batchFormat is the version of the batch format.
const batchFormat = 1

const kindPrefix = "refusals-"

// header is the first line of a batch.
type header struct {
	Format      int    `json:"format"`
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// footer is the last line of a batch; a batch without it is truncated.
type footer struct {
	Records  int    `json:"records"`
	Refusals uint64 `json:"refusals"`
}

// KindAt returns the kind of the objects that hold the records of the hour of t.
func KindAt(t time.Time) objectapi.Kind {
	return objectapi.Kind(kindPrefix + t.UTC().Format("2006010215"))
}

// encode packs entries of one bucket, from the front, until the batch is full. It returns the value and the number of
// entries in it.
func encode(h header, entries []entry) ([]byte, int, error) {
	var out bytes.Buffer
	var f footer
	err := compressTo(&out, func(z io.Writer) error {
		w := &countingWriter{w: z}
		full := func() bool { return out.Len() >= targetBatchSize || w.n >= maxBatchText }
		return encodeLines(json.NewEncoder(w), h, entries, &f, full)
	})
	return out.Bytes(), f.Records, trace.Wrap(err, "op=encode-batch process=%s sequence=%d", h.Process, h.Sequence)
}

// encodeLines writes the header, records until the batch is full, and the footer.
func encodeLines(j *json.Encoder, h header, entries []entry, f *footer, full func() bool) error {
	if err := j.Encode(h); err != nil {
		return err
	}
	for i := range entries {
		if full() {
			break
		}
		if err := j.Encode(entries[i].record); err != nil {
			return err
		}
		f.Records++
		f.Refusals += uint64(entries[i].record.Count)
	}
	return j.Encode(*f)
}

// decode unpacks a batch. After an error it still returns the records read before it.
func decode(value []byte) ([]Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, trace.Wrap(err, "op=decode-batch")
	}
	lines := bufio.NewScanner(io.LimitReader(z, maxBatchRead))
	lines.Buffer(nil, maxBatchRead)
	var h header
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &h) != nil {
		return nil, trace.Errorf("op=decode-batch: missing or malformed header")
	}
	if h.Format != batchFormat {
		return nil, trace.Errorf("op=decode-batch: unsupported format %d", h.Format)
	}
	records, err := decodeLines(lines)
	return records, trace.Wrap(err, "op=decode-batch process=%s sequence=%d", h.Process, h.Sequence)
}

// decodeLines reads the records and checks them against the footer.
func decodeLines(lines *bufio.Scanner) ([]Record, error) {
	var out []Record
	var refusals uint64
	for lines.Scan() {
		var line struct {
			Record
			footer
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return out, err
		}
		if line.Count > 0 {
			out = append(out, line.Record)
			refusals += uint64(line.Count)
			continue
		}
		if line.Records != len(out) || line.Refusals != refusals {
			return out, fmt.Errorf("batch has %d records with %d refusals, footer says %d with %d", len(out), refusals, line.Records, line.Refusals)
		}
		return out, expectEnd(lines)
	}
	if err := lines.Err(); err != nil {
		return out, err
	}
	return out, fmt.Errorf("truncated before the footer: got %d records", len(out))
}

// expectEnd checks that nothing follows the footer. Reading to the end also verifies the checksum of the compressed
// data.
func expectEnd(lines *bufio.Scanner) error {
	if lines.Scan() {
		return errors.New("data after the footer")
	}
	return lines.Err()
}

// sanitize truncates the text fields of a record, which bounds its size to a few kilobytes, and replaces times that
// have no RFC 3339 form.
func sanitize(r *Record, now time.Time) {
	if r.Time.IsZero() || isUnrepresentable(r.Time) {
		r.Time = now
	}
	if isUnrepresentable(r.Last) {
		r.Last = r.Time
	}
	r.Detail = truncate(r.Detail, maxDetail)
	r.Request = truncate(r.Request, maxField)
	r.Service = truncate(r.Service, maxField)
	r.DecidedBy = truncate(r.DecidedBy, maxField)
}

// isUnrepresentable reports whether t has no RFC 3339 form.
func isUnrepresentable(t time.Time) bool {
	_, err := t.MarshalText()
	return err != nil
}

// truncate returns at most n bytes of s. It copies them, so that the original text can be garbage collected.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:n]), "")
}

// countingWriter counts the bytes written.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}
