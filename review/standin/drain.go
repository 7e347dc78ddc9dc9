package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Times of the case "drain", after the start of the first process of the server.
const (
	// drainAfter is when the next process says that it leaves; it ends exitAfter.
	drainAfter = 10500 * time.Millisecond
	exitAfter  = 19 * time.Second
	// openRate is the number of new flows a second.
	openRate = 100
)

// runDrain checks that a server gets no new flow later than drainMs after its draining was acknowledged. The disruption is
// a heartbeat of an earlier process of the server that arrives late.
func runDrain(ctx context.Context, rec *record, programs string, trouble bool) error {
	w, err := startDeployment(ctx, rec, programs)
	if err != nil {
		return err
	}
	defer w.close()
	during, stop := context.WithCancel(ctx)
	defer stop()
	var requests sync.WaitGroup
	requests.Go(func() { openFlows(during, ctx, w, &requests) })

	var acknowledged *acknowledgement
	r, err := replaceServer(ctx, w, trouble, func(next *server) { acknowledged = watchDraining(next) })
	if err != nil {
		return err
	}
	go r.next.sendHeartbeats(acknowledged.record)
	r.await(ctx, drainAfter)
	r.next.drain()
	rec.note("server %s drains", r.next.id)
	r.deliver(ctx, rec, trouble)
	r.await(ctx, exitAfter)
	r.next.deregister()
	r.next.crash()
	stop()
	requests.Wait()
	if at := acknowledged.time(); at.IsZero() || !r.isCalm(at) {
		return errors.New("the draining was not acknowledged by a machine in touch")
	}
	return nil
}

// acknowledgement is when the draining of a server was first acknowledged.
type acknowledgement struct {
	s  *server
	mu sync.Mutex
	at time.Time
}

// watchDraining notes each new flow that the server gets later than drainMs after the acknowledgement.
func watchDraining(s *server) *acknowledgement {
	a := &acknowledgement{s: s}
	s.onOpening = func(s *server, p packet) {
		if at := a.time(); !at.IsZero() && time.Since(at) > drainBound {
			s.rec.broken("DRAIN: a new flow of %s reaches %s %.3f s after the acknowledgement that it drains", p.source, s.id, time.Since(at).Seconds())
		}
	}
	return a
}

func (a *acknowledgement) record(r report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.State == "draining" && a.at.IsZero() {
		a.at = time.Now()
		a.s.rec.note("the draining of %s is acknowledged", a.s.id)
	}
}

func (a *acknowledgement) time() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at
}

// openFlows opens flows with one request each until during ends.
func openFlows(during, whole context.Context, w *world, all *sync.WaitGroup) {
	for n := 0; during.Err() == nil; n++ {
		f := w.clients.newFlow(routeAddress)
		id := fmt.Sprintf("request-%d", n)
		all.Go(func() {
			w.rec.note("%s from %s: sent", id, f.from)
			if o := f.open(whole); o != succeeded {
				w.rec.note("%s from %s: not opened: %s", id, f.from, o)
				return
			}
			o, server := f.request(whole, id, 1500*time.Millisecond)
			w.rec.note("%s from %s: %s %s", id, f.from, o, server)
			f.close()
		})
		pause(during, time.Second/openRate)
	}
}
