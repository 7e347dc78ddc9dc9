package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The services and the route of the cases.
const (
	serviceA = "route-svc"
	serviceB = "reports-svc"
	mainPath = 0
)

// sheet are the machines of the site: 4 balancers, 7 servers of route-svc and 4 of reports-svc.
const balancers = 4

var sheet = []string{
	serviceA, serviceA, serviceA, serviceA, serviceA, serviceA, serviceA,
	serviceB, serviceB, serviceB, serviceB,
}

// before and after are the shares of the route: a tenth of its new flows goes to the second service, then all of them.
var (
	before = []share{{serviceA, 90}, {serviceB, 10}}
	after  = []share{{serviceB, 100}}
)

// settle is the time from the start of all until traffic starts, as on the deployment.
const settle = 10 * time.Second

// openFlows opens flows to a route, each with one answered request.
func (w *world) openFlows(n, to int) ([]*flow, error) {
	var flows []*flow
	for i := range n {
		f := w.clients.open(w.route(to))
		if f == nil {
			continue
		}
		if f.request(fmt.Sprintf("%d-1", i)) == "answered" {
			flows = append(flows, f)
		}
	}
	if len(flows) < n*9/10 {
		return nil, fmt.Errorf("only %d of %d flows were served before the disruption", len(flows), n)
	}
	return flows, nil
}

// requestAll sends one more request on each flow, all at about the same time.
func requestAll(flows []*flow, number int) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]int)
	for i, f := range flows {
		wg.Go(func() {
			end := f.request(fmt.Sprintf("%d-%d", i, number))
			mu.Lock()
			ends[end]++
			mu.Unlock()
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	return ends
}

// lostDeregistration: a server is taken away as planned; the acknowledgement of its deregistration is lost, so that it goes on
// for some seconds. Its open flows must not be reset by the system while it lives.
func lostDeregistration(w *world, trouble bool) error {
	w.build(balancers, sheet...)
	leaving := w.machines[0]
	p, err := newProxy(w.at(w.ip(netServers, 100), portControl).String(), leaving.control)
	if err != nil {
		return err
	}
	leaving.control = p.listener.Addr().String()
	if err := w.declare(3, []string{serviceA, serviceB}, route{mainPath, before}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(settle)
	flows, err := w.openFlows(80, mainPath)
	if err != nil {
		return err
	}
	s := leaving.server
	if s.openFlows() == 0 {
		return fmt.Errorf("server %s holds no open flow", s.id)
	}
	s.drain(500 * time.Millisecond)
	p.losing.Store(trouble)
	if trouble {
		w.record.note("DISRUPTION: the connection on which server %s deregisters is reset before the answer", s.id)
		w.impair()
	}
	acknowledged := s.deregister()
	p.losing.Store(false)
	if acknowledged {
		s.stop()
	}
	// The machines are in touch again, and the links of the server without impairment, after stabilityWindowMs.
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	w.record.note("requests on open flows: %v", requestAll(flows, 2))
	s.stop()
	return nil
}

// reroutedFlows: a desired state sends a route's new flows to another service, while a balancer is restarted as planned. Flows
// that are open at the former service stay there, and must not be reset.
func reroutedFlows(w *world, trouble bool) error {
	w.build(balancers, sheet...)
	services := []string{serviceA, serviceB}
	if err := w.declare(3, services, route{mainPath, before}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(settle)
	flows, err := w.openFlows(80, mainPath)
	if err != nil {
		return err
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		w.record.note("DISRUPTION: cheap reads of the store (serializable=1) are 3 s behind")
		w.store.setStale(3 * time.Second)
	}
	last := w.balancers[len(w.balancers)-1]
	w.record.note("%s gets SIGTERM (planned)", last.name)
	last.signal(syscall.SIGTERM)
	if !last.ended(graceS * time.Second) {
		return fmt.Errorf("%s has not ended", last.name)
	}
	w.record.note("%s has ended", last.name)
	if err := w.declare(8, services, route{mainPath, after}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := last.start(false); err != nil {
		return err
	}
	w.impair()
	w.record.note("%s starts again", last.name)
	if err := w.awaitRotation(len(w.balancers), 6*time.Second); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	w.record.note("requests on open flows: %v", requestAll(flows, 2))
	return nil
}

// killedAfterChange: all processes are killed immediately after a desired state is acknowledged, which sends a route's new flows
// to another service. Flows that are open at the former service stay there, and must not be reset once all machines are back and
// in touch.
func killedAfterChange(w *world, trouble bool) error {
	w.build(balancers, sheet...)
	services := []string{serviceA, serviceB}
	if err := w.declare(3, services, route{mainPath, before}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(settle)
	flows, err := w.openFlows(80, mainPath)
	if err != nil {
		return err
	}
	time.Sleep(2500 * time.Millisecond)
	if err := w.declare(8, services, route{mainPath, after}); err != nil {
		return err
	}
	if trouble {
		if err := w.killAll(); err != nil {
			return err
		}
	}
	time.Sleep(stabilityWindow + time.Second)
	if err := w.awaitRotation(len(w.balancers), time.Second); err != nil {
		return err
	}
	w.record.note("requests on open flows: %v", requestAll(flows, 2))
	return nil
}

// killAll kills all processes of the system and starts them again after a short delay.
func (w *world) killAll() error {
	w.record.note("DISRUPTION: all processes of the system are killed")
	var all []*daemon
	for _, b := range w.balancers {
		all = append(all, b.daemon)
	}
	for _, m := range w.machines {
		all = append(all, m.daemon)
	}
	for _, d := range all {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range all {
		if !d.ended(time.Second) {
			return fmt.Errorf("%s has not ended", d.name)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, d := range all {
		if err := d.start(false); err != nil {
			return err
		}
	}
	w.impair()
	w.record.note("all processes start again")
	return nil
}
