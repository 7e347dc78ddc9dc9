package policy

import "time"

// settleTime is how long a run goes on after the last request.
const settleTime = 4 * time.Second

// Run plays one run.
func Run(o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	w := newWorld(o)
	// Agents and balancers have met before the first request.
	w.after(0, w.askOften)
	for _, f := range o.Faults {
		w.after(f.At, func() { w.begin(f) })
	}
	w.run(epoch.Add(o.Length + o.Budget + settleTime))
	return w.result, nil
}

// begin lets a fault begin, and end in time.
func (w *world) begin(f Fault) {
	switch f.Kind {
	case PowerLoss:
		w.powerLoss(f)
	case Restart:
		for _, a := range w.some(f.Share) {
			a.target.end()
			w.after(f.For, func() { a.target.start(false) })
		}
	case Burst:
		w.burst = f.Factor
		w.after(f.For, func() { w.burst = 1 })
	case Slow:
		w.during(f, func(t *target, on bool) { t.slow = pick(on, f.Factor, 1) })
	case Fails:
		w.during(f, func(t *target, on bool) { t.failing = pick(on, f.Factor, 0) })
	case Mute:
		w.during(f, func(t *target, on bool) { t.mute = pick(on, f.Factor, 0) })
	case Wrong:
		w.during(f, func(t *target, on bool) { t.wrong = pick(on, f.Factor, 0) })
	case AgentDies:
		for _, a := range w.some(f.Share) {
			a.up = false
			w.after(f.For, func() { a.start(false) })
		}
	}
}

func pick(on bool, a, b float64) float64 {
	if on {
		return a
	}
	return b
}

// some is a random share of the targets' VMs.
func (w *world) some(share float64) []*agentNode {
	n := int(share*float64(len(w.agents)) + 0.5)
	var out []*agentNode
	for _, i := range w.random.Perm(len(w.agents))[:n] {
		out = append(out, w.agents[i])
	}
	return out
}

// during changes a share of the targets for the time of a fault.
func (w *world) during(f Fault, change func(t *target, on bool)) {
	hit := w.some(f.Share)
	for _, a := range hit {
		change(a.target, true)
	}
	w.after(f.For, func() {
		for _, a := range hit {
			change(a.target, false)
		}
	})
}

// powerLoss takes the power of everything and gives it back.
func (w *world) powerLoss(f Fault) {
	w.dark = true
	for _, b := range w.balancers {
		b.up, b.downAt = false, w.now()
	}
	for _, a := range w.agents {
		a.up = false
		a.target.end()
	}
	w.after(f.For, func() {
		for _, a := range w.agents {
			a.target.start(false)
		}
	})
	w.after(f.For+startDelay, func() {
		w.dark = false
		for _, b := range w.balancers {
			b.start()
		}
		for _, a := range w.agents {
			a.start(false)
			a.announce()
		}
	})
}
