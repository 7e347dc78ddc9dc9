package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/lab/download"
	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// longFlows is the number of slow downloads in progress during a change.
const longFlows = 20

// running holds the slow downloads in progress.
type running struct {
	group  sync.WaitGroup
	mu     sync.Mutex
	errors []error
}

// startLongDownloads starts slow downloads that take several seconds.
func (s *show) startLongDownloads(ctx context.Context, size flows.ServiceSize, name string) *running {
	r := &running{}
	for i := range longFlows {
		client := s.client()
		r.group.Go(func() {
			d := spec(size, fmt.Sprint(name, i), longBytes)
			d.Chunk, d.Every = longChunk, longEvery
			if _, err := download.Get(ctx, client, d); err != nil {
				r.mu.Lock()
				r.errors = append(r.errors, err)
				r.mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	return r
}

// wait returns the number of downloads that were cut or wrong, and prints the first error.
func (r *running) wait(s *show) int {
	r.group.Wait()
	if len(r.errors) > 0 {
		s.printf("first of %d failures: %v", len(r.errors), trace.UserMessage(r.errors[0]))
	}
	return len(r.errors)
}

// drain drains a target and replaces a balancer while downloads run; none may be cut.
func (s *show) drain(ctx context.Context) error {
	size := s.deployment.Services[0]
	long := s.startLongDownloads(ctx, size, "drain")
	leaving := s.firstTarget(size.Name)
	drained := make(chan error, 1)
	go func() { drained <- s.cluster.DrainTarget(ctx, leaving) }()
	if err := s.cluster.LeaveBalancer(ctx, s.cluster.Balancers()[0]); err != nil {
		return trace.Wrap(err)
	}
	if _, err := s.cluster.JoinBalancer(ctx); err != nil {
		return trace.Wrap(err)
	}
	cut := long.wait(s)
	if err := <-drained; err != nil {
		return trace.Wrap(err)
	}
	s.failures += cut
	s.printf("drained %s and replaced a balancer during %d long downloads: %d cut", leaving, longFlows, cut)
	return nil
}

// balancerFailure kills a balancer during an object API outage while downloads run; none may be cut.
func (s *show) balancerFailure(ctx context.Context) error {
	size := s.deployment.Services[1]
	long := s.startLongDownloads(ctx, size, "kill")
	s.cluster.StoreDown(true)
	if err := s.cluster.KillBalancer(s.cluster.Balancers()[0]); err != nil {
		return trace.Wrap(err)
	}
	cut := long.wait(s)
	s.cluster.StoreDown(false)
	s.failures += cut
	s.printf("killed a balancer during an outage of the object API and %d long downloads: %d cut", longFlows, cut)
	return nil
}

// refusal dials an address of no service and looks for the refusal record.
func (s *show) refusal(ctx context.Context) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+unusedAddress, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := s.client().Do(r)
	if err == nil {
		_ = resp.Body.Close()
		return trace.CompareFailed("an address of no service was answered")
	}
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		for _, rec := range s.cluster.Refusals() {
			if rec.Reason == refusal.ReasonUnknownAddress {
				s.printf("called %s, which belongs to no service: refused; record %s: reason=%s caller=%s decided by %s, run=%s",
					unusedAddress, rec.ID, rec.Reason, rec.Caller, rec.DecidedBy, rec.Run)
				return nil
			}
		}
		time.Sleep(settleTime / 20)
	}
	return trace.NotFound("the refusal of %s left no record", unusedAddress)
}

func (s *show) firstTarget(service string) string {
	for _, t := range s.cluster.Targets() {
		if t.Service == service && t.State != 0 {
			return t.ID
		}
	}
	return ""
}
