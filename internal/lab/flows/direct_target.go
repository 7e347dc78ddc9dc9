package flows

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/agent"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// directTarget is a target with its agent.
type directTarget struct {
	service string
	target  *target.Target
	agent   *agent.Agent
	// info and since are guarded by direct.mu.
	info  view.Target
	since time.Time
}

// addTarget starts a target and its agent; the caller publishes the view.
func (d *direct) addTarget(s ServiceSize, state view.TargetState) (*directTarget, error) {
	n := d.nextNumber()
	id := targetID(s.Name, n)
	standin, err := target.Start(d.targetConfig(s, id), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	connections := d.cfg.Connections[s.Name]
	a, err := agent.New(agent.Config{
		Name:          id,
		Incarnation:   uint64(n),
		Service:       s.Name,
		PacketAddress: loopbackPort(),
		FabricAddress: d.cfg.Fabric.Addr(),
		TargetAddress: standin.Addr(),
		Connections:   connections,
	}, agent.Deps{Log: d.cfg.Log.With().Str("agent", id).Logger(), Metrics: d.scope, Refusals: &d.recorder})
	if err != nil {
		standin.Kill()
		return nil, trace.Wrap(err)
	}
	centres := d.cfg.Deployment.DataCentres
	t := &directTarget{service: s.Name, target: standin, agent: a, since: time.Now(), info: view.Target{
		ID:          id,
		Incarnation: uint64(n),
		Agent:       a.PacketAddr(),
		Weight:      1,
		State:       state,
		DataCentre:  centres[n%len(centres)],
		Slots:       s.Slots,
		Connections: connections,
	}}
	d.mu.Lock()
	d.targets = append(d.targets, t)
	d.mu.Unlock()
	d.done.Go(func() { _ = a.Run(d.ctx) })
	d.views.add(id, func(v *view.View) { a.SetService(serviceOf(v, s.Name)) })
	return t, nil
}

func serviceOf(v *view.View, name string) *view.Service {
	for _, s := range v.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (t *directTarget) kill() {
	t.agent.Kill()
	t.target.Kill()
}
