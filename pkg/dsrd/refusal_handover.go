package dsrd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/dsr/recording"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

const (
	// refusalPath is where a balancer takes the refusal records of others.
	refusalPath = "/v2/refusals"
	// maxRefusalBytes bounds the records of one call, in bytes.
	maxRefusalBytes = 1 << 20
	// refusalDelay is how long records are collected before they are handed over.
	refusalDelay = 2 * time.Second
	// refusalRetain is how long a balancer keeps records that it has handed over: longer than the one that writes them
	// takes until its next object.
	refusalRetain = 2 * time.Minute
	// writerInterval is the time between two choices of the balancer that writes.
	writerInterval = time.Second
	// writerTimeout is how long that balancer may fail to take records until this one writes them itself.
	writerTimeout = 5 * time.Second
)

// refusalHandover hands the refusal records of this balancer to the one that writes them, and takes those of others. A
// balancer that has taken records writes all that it has, so that records never go in circles while balancers disagree
// about who writes.
type refusalHandover struct {
	log    *refusal.Log
	self   netip.AddrPort
	client *http.Client
	// living returns the living balancers, this one included.
	living func() []recording.Candidate

	// mu is locked before the balancer's, which living locks.
	mu sync.Mutex
	// writer is the balancer that writes the records, chosenAt when it was chosen.
	writer   netip.AddrPort
	chosenAt time.Time
	// failingSince is when the first of the last calls failed; zero after a success.
	failingSince time.Time
	// acceptedAt is when records of others were last taken.
	acceptedAt time.Time
}

// target returns the balancer to which records are handed over now, and false when this one writes them.
func (h *refusalHandover) target(now time.Time) (netip.AddrPort, bool) {
	if h.choose(now) {
		h.log.MirrorChanged()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted := !h.acceptedAt.IsZero() && now.Sub(h.acceptedAt) < refusalRetain
	return h.writer, h.writer != h.self && !accepted
}

// choose chooses the balancer that writes, once in writerInterval, and reports whether it is another one than before.
func (h *refusalHandover) choose(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.chosenAt) < writerInterval {
		return false
	}
	before := h.writer
	h.chosenAt, h.writer = now, recording.Writer(h.self, h.living())
	if h.writer == before {
		return false
	}
	h.failingSince = time.Time{}
	return true
}

// handsOver reports whether another balancer writes the records.
func (h *refusalHandover) handsOver() bool {
	now := time.Now()
	_, other := h.target(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return other && (h.failingSince.IsZero() || now.Sub(h.failingSince) < writerTimeout)
}

// Mirror implements refusal.Mirror.
func (h *refusalHandover) Mirror(ctx context.Context, records []refusal.Record) error {
	to, other := h.target(time.Now())
	if !other {
		return nil
	}
	err := h.post(ctx, to, records)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.failingSince = time.Time{}
	case h.failingSince.IsZero():
		h.failingSince = time.Now()
	}
	return err
}

func (h *refusalHandover) post(ctx context.Context, to netip.AddrPort, records []refusal.Record) error {
	body, err := refusal.EncodeRecords(records)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+refusalPath, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return trace.Wrap(err, "handing refusal records to %s", to)
	}
	defer resp.Body.Close() //nolint:errcheck // The body is empty or given up.
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("handing refusal records to %s: status %d", to, resp.StatusCode)
	}
	return nil
}

// ServeHTTP takes the records of another balancer.
func (h *refusalHandover) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRefusalBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	records, err := refusal.DecodeRecords(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	h.acceptedAt = time.Now()
	h.mu.Unlock()
	h.log.Accept(records)
	w.WriteHeader(http.StatusNoContent)
}
