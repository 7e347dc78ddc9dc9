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
	// targetBatchSize is the compressed size at which a batch is closed. The compressor may hold back some tens of
	// kilobytes then, so that an object stays well below objectapi.MaxValueSize.
	targetBatchSize = 256 << 10
	// maxBatchText is the size before compression at which a batch is closed.
	maxBatchText = 8 << 20
	// maxBatchRead bounds what a reader unpacks, with room for the last record.
	maxBatchRead = maxBatchText + 1<<20
	// maxDetail and maxField bound the texts of one record, in bytes.
	maxDetail = 1024
	maxField  = 256
)

// batchFormat is the version of the form of a batch.
const batchFormat = 1

const kindPrefix = "refusals-"

// header is the first line of a batch.
type header struct {
	Format      int    `json:"format"`
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// footer is the last line of a batch; a batch without it was cut off.
type footer struct {
	Records  int    `json:"records"`
	Refusals uint64 `json:"refusals"`
}

// KindAt returns the kind of the objects that hold the records of the hour of t.
func KindAt(t time.Time) objectapi.Kind {
	return objectapi.Kind(kindPrefix + t.UTC().Format("2006010215"))
}

// encode packs entries of one bucket from the front, as many as fit, and returns the value and how many it holds.
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

// decode unpacks a batch. Records before a fault are returned with the error.
func decode(value []byte) ([]Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, trace.Wrap(err, "op=decode-batch")
	}
	lines := bufio.NewScanner(io.LimitReader(z, maxBatchRead))
	lines.Buffer(nil, maxBatchRead)
	var h header
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &h) != nil {
		return nil, trace.Errorf("op=decode-batch: no header")
	}
	if h.Format != batchFormat {
		return nil, trace.Errorf("op=decode-batch: format %d is not known", h.Format)
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
			return out, fmt.Errorf("holds %d records of %d refusals, the footer says %d of %d", len(out), refusals, line.Records, line.Refusals)
		}
		return out, ended(lines)
	}
	if err := lines.Err(); err != nil {
		return out, err
	}
	return out, errors.New("cut off before the footer")
}

// ended reads past the last line, so that the checksum of the batch is verified.
func ended(lines *bufio.Scanner) error {
	if lines.Scan() {
		return errors.New("goes on after the footer")
	}
	return lines.Err()
}

// bound shortens the texts of a record, so that no record is larger than a few kilobytes, and replaces a time that
// cannot be written as text.
func bound(r *Record, now time.Time) {
	if r.Time.IsZero() || unwritable(r.Time) {
		r.Time = now
	}
	if unwritable(r.Last) {
		r.Last = r.Time
	}
	r.Detail = shorten(r.Detail, maxDetail)
	r.Request = shorten(r.Request, maxField)
	r.Service = shorten(r.Service, maxField)
	r.DecidedBy = shorten(r.DecidedBy, maxField)
}

// unwritable reports whether RFC 3339 has no text for the time.
func unwritable(t time.Time) bool {
	_, err := t.MarshalText()
	return err != nil
}

// shorten copies what it keeps, so that the whole text can be freed.
func shorten(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:n]), "")
}

// countingWriter counts the bytes that pass.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}
