package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Times of the case "flow", after the start of the first process of the server.
const (
	// flowOpen is when flows are opened, flowRestart when the daemon beside the server is stopped as planned work, and
	// flowRequest when the second request of each flow is sent.
	flowOpen    = 6600 * time.Millisecond
	flowRestart = 6900 * time.Millisecond
	flowRequest = 12800 * time.Millisecond
	// idleFlows is the number of flows; those that other servers got are not used again.
	idleFlows = 60
	// unsafeBudget is the time budget of a request.
	unsafeBudget = 1500 * time.Millisecond
)

// runFlow checks that the requester of an open flow gets no reset that the flow's server did not send, while that server
// lives. The disruptions are a heartbeat of an earlier process of the server that arrives late, and a planned restart of the
// daemon beside the server.
func runFlow(ctx context.Context, rec *record, programs string, trouble bool) error {
	w, err := startDeployment(ctx, rec, programs)
	if err != nil {
		return err
	}
	defer w.close()
	r, err := replaceServer(ctx, w, trouble, func(*server) {})
	if err != nil {
		return err
	}
	go r.next.sendHeartbeats(nil)
	r.await(ctx, flowOpen)
	held := holdFlows(ctx, w, r.next)
	if len(held) == 0 {
		return errors.New("no flow was opened at the server")
	}
	r.await(ctx, flowRestart)
	if err := w.sides[0].restart(); err != nil {
		return err
	}
	restarted := time.Now()
	r.deliver(ctx, rec, trouble)
	r.await(ctx, flowRequest)
	if now := time.Now(); !r.isCalm(now) || now.Sub(restarted) <= touchWindow {
		return errors.New("the machines are not in touch again")
	}
	rec.note("all machines are in touch: %.1f s have passed since the partition, %.1f s since the daemon started again",
		time.Since(r.began.Add(partitionTime)).Seconds(), time.Since(restarted).Seconds())
	var requests sync.WaitGroup
	for n, f := range held {
		requests.Go(func() {
			id := fmt.Sprintf("second-%d", n)
			rec.note("%s from %s: sent", id, f.from)
			sent := time.Now()
			o, server := f.request(ctx, id, unsafeBudget)
			rec.note("%s from %s: %s %s after %.3f s", id, f.from, o, server, time.Since(sent).Seconds())
			if o == wasReset && r.next.holds(f.from) {
				rec.broken("FLOW: the requester %s gets a reset that %s did not send; that server runs and holds the flow", f.from, r.next.id)
			}
		})
	}
	requests.Wait()
	return nil
}

// holdFlows opens flows, sends a request on each and returns those that are open at a server.
func holdFlows(ctx context.Context, w *world, at *server) []*flow {
	var mu sync.Mutex
	var held []*flow
	var all sync.WaitGroup
	for n := range idleFlows {
		all.Go(func() {
			f := w.clients.newFlow(routeAddress)
			id := fmt.Sprintf("first-%d", n)
			if o := f.open(ctx); o != succeeded {
				w.rec.note("%s from %s: not opened: %s", id, f.from, o)
				return
			}
			o, server := f.request(ctx, id, unsafeBudget)
			w.rec.note("%s from %s: %s %s", id, f.from, o, server)
			if o == succeeded && server == at.id {
				mu.Lock()
				defer mu.Unlock()
				held = append(held, f)
			}
		})
	}
	all.Wait()
	return held
}
