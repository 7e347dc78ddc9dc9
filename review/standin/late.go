package main

import (
	"context"
	"time"
)

// The order of events of both cases, after the start of the first process of a server. A partition cuts this server off from
// the daemon beside it.
const (
	// crashAfter is when the first process crashes, before it sends a second heartbeat.
	crashAfter = 1700 * time.Millisecond
	// replaceAfter is when the next process starts: the server is down for 4.45 s.
	replaceAfter = 6150 * time.Millisecond
	// partitionTime is how long the partition lasts; a day of the site has one of 12 s.
	partitionTime = 6300 * time.Millisecond
	// reportAfter is when the next process sends its first heartbeat.
	reportAfter = 6400 * time.Millisecond
	// arrivalTime is when the heartbeat that was held up arrives: TCP sends again 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s after the
	// first time.
	arrivalTime = 12600 * time.Millisecond
)

// deployment is the services of the side machines, as many as on the sheet of the site; frontMachines are beside them.
var deployment = []string{
	routeService, routeService, routeService, routeService, routeService, routeService, routeService,
	reportsService, reportsService, reportsService, reportsService,
}

const frontMachines = 4

// startDeployment starts all daemons, and the servers but for the first one, and waits until all machines are in touch.
func startDeployment(ctx context.Context, rec *record, programs string) (*world, error) {
	w, err := newWorld(ctx, rec, programs, frontMachines, deployment)
	if err != nil {
		return nil, err
	}
	if err := w.startAll(); err != nil {
		w.close()
		return nil, err
	}
	for n := 1; n < len(deployment); n++ {
		s := w.newServer(n, "i-"+w.sides[n].name)
		if err := s.start(ctx); err != nil {
			w.close()
			return nil, err
		}
		go s.sendHeartbeats(nil)
	}
	if err := w.awaitRotation(); err != nil {
		w.close()
		return nil, err
	}
	pause(ctx, touchWindow+time.Second)
	return w, nil
}

// replacedServer is a server of which one process has ended and another one has started at the same address.
type replacedServer struct {
	began time.Time
	first *server
	next  *server
	link  *delayLine
}

// replaceServer starts and crashes the first process of the first server, whose heartbeat the partition holds up if there is
// trouble, and starts the next process, which has to report.
func replaceServer(ctx context.Context, w *world, trouble bool, prepare func(next *server)) (*replacedServer, error) {
	r := &replacedServer{began: time.Now(), first: w.newServer(0, "i-first-a"), next: w.newServer(0, "i-first-b")}
	var err error
	if r.link, err = newDelayLine(ctx, w.at(w.ip(sideNet, 1), 0).String(), r.first.control); err != nil {
		return nil, err
	}
	r.first.control = r.link.address()
	if err := r.first.start(ctx); err != nil {
		return nil, err
	}
	if trouble {
		w.rec.note("a partition between %s and its daemon begins; it holds up the heartbeat", r.first.id)
	} else {
		r.link.heal()
	}
	go r.first.sendHeartbeats(nil)
	r.await(ctx, crashAfter)
	r.first.crash()
	r.await(ctx, replaceAfter)
	prepare(r.next)
	if err := r.next.start(ctx); err != nil {
		return nil, err
	}
	r.await(ctx, partitionTime)
	if trouble {
		w.rec.note("the partition ends; TCP sends the heartbeat of %s again %.1f s after the first time", r.first.id, arrivalTime.Seconds())
	}
	r.await(ctx, reportAfter)
	return r, nil
}

// await waits until a time after the start of the first process.
func (r *replacedServer) await(ctx context.Context, after time.Duration) {
	pause(ctx, time.Until(r.began.Add(after)))
}

// deliver lets the late heartbeat arrive.
func (r *replacedServer) deliver(ctx context.Context, rec *record, trouble bool) {
	r.await(ctx, arrivalTime)
	if trouble {
		rec.note("the heartbeat of %s arrives", r.first.id)
		r.link.heal()
	}
}

// isCalm reports whether the server and its links have been without impairment for stabilityWindowMs: since the partition.
func (r *replacedServer) isCalm(now time.Time) bool {
	return now.Sub(r.began.Add(partitionTime)) > touchWindow
}
