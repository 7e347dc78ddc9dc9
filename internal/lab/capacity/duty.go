package capacity

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/revision"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// compileServices measures the compilation and encoding of a revision by the number of services.
func compileServices() probe {
	return probe{
		name: "compile", per: "service", source: "pkg/resource, pkg/revision",
		sizes: []float64{170, 340, 680}, repeats: 3,
		outputs: []output{
			{name: "compiling a revision with one changed service, processor time", unit: "ms"},
			{name: "stored revision", unit: "B"},
			{name: "encoding a revision, processor time", unit: "ms"},
		},
		run: func(_ context.Context, size float64) ([]float64, error) {
			var list []resource.VersionedService
			for _, s := range newServices(int(size)) {
				list = append(list, resource.VersionedService{Service: s, Version: 1})
			}
			first := revision.Compile(resource.Revision{}, revision.Inputs{Services: list})
			list[0].Spec.Limits.Connections, list[0].Version = 100, 2
			const rounds = 10
			compiling := timed(func() {
				for range rounds {
					revision.Compile(first.Revision, revision.Inputs{Services: list})
				}
			})
			var b []byte
			var err error
			encoding := timed(func() {
				for range rounds {
					b, err = revision.Encode(first.Revision)
				}
			})
			return []float64{compiling / rounds, float64(len(b)), encoding / rounds}, err
		},
	}
}

// memberGroups measures the size and the encoding of the stored members of a data centre.
func memberGroups() probe {
	return probe{
		name: "member-group", per: "member of a data centre", source: "pkg/membership",
		sizes: []float64{136, 271, membersDataCentre}, repeats: 3,
		outputs: []output{{name: "stored members of a data centre", unit: "B"}, {name: "encoding them, processor time", unit: "ms"}},
		run: func(_ context.Context, size float64) ([]float64, error) {
			balancers := int(size) * fleetBalancers / fleetMembers
			members := append(newBalancers(balancers), newTargets(int(size)-balancers, fleetServices)...)
			g := membership.Group{Holder: "balancer-0000/1", Term: 1, DataCentre: "data-centre-0", Parts: 1, Members: members}
			var b []byte
			var err error
			const rounds = 20
			used := timed(func() {
				for range rounds {
					b, err = json.Marshal(g)
				}
			})
			return []float64{float64(len(b)), used / rounds}, err
		},
	}
}

const (
	// inForceTime is the time until slowAcks reports a revision as in force on all balancers, as in a real fleet.
	inForceTime = 3 * time.Second
	changeEvery = 5 * time.Second
	dutySettle  = 7 * time.Second
)

// dutyCalls measures the object API calls of the compile duty by the number of changes.
func dutyCalls() probe {
	return probe{
		name: "duty-calls", per: "change", source: "pkg/revision, pkg/lease",
		sizes: []float64{1, 2, 3}, repeats: 1, parallel: true,
		outputs: []output{{name: "compile duty, writes", unit: "writes"}, {name: "compile duty, reads", unit: "reads"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			return runDuty(ctx, int(size))
		},
	}
}

func runDuty(ctx context.Context, changes int) ([]float64, error) {
	s := store.New(store.Config{WatchWait: time.Minute})
	services := newServices(5)
	for _, one := range services {
		if err := put(ctx, s, one, 0); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := revision.Compiler{Store: s, Acks: &slowAcks{}, Log: zerolog.Nop(), Resync: time.Hour}
	done := make(chan error, 1)
	go func() { done <- c.Duty(ctx, lease.Grant{Holder: "balancer-0000/1", Term: 1}) }()
	_ = wait.For(ctx, dutySettle)
	before := s.Counts()
	for i := range changes {
		services[0].Spec.Limits.Connections = uint32(100 + i)
		if err := put(ctx, s, services[0], uint64(i+1)); err != nil {
			return nil, err
		}
		_ = wait.For(ctx, changeEvery)
	}
	_ = wait.For(ctx, dutySettle-changeEvery)
	after := s.Counts()
	cancel()
	<-done
	// Subtract the operator's own calls: one read and one write for each change.
	writes := float64(after.Writes()-before.Writes()) - float64(changes)
	reads := float64(after.Reads()-before.Reads()) - float64(changes)
	return []float64{writes, reads}, nil
}

// put stores a service as an operator does: it creates the service if change is 0 and updates it otherwise.
func put(ctx context.Context, s objectapi.Store, one resource.Service, change uint64) error {
	value, err := resource.Encode(one)
	if err != nil {
		return trace.Wrap(err)
	}
	if change == 0 {
		_, err = s.Create(ctx, resource.KindService, one.Name, value)
		return trace.Wrap(err)
	}
	o, err := s.Get(ctx, resource.KindService, one.Name)
	if err != nil {
		return trace.Wrap(err)
	}
	o.Value = value
	_, err = s.Update(ctx, o)
	return trace.Wrap(err)
}

// slowAcks reports a revision as in force on a number of balancers that grows linearly to all within inForceTime.
type slowAcks struct {
	mu    sync.Mutex
	first map[uint64]time.Time
}

// InForce implements revision.Acks.
func (a *slowAcks) InForce(number uint64) resource.InForce {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first == nil {
		a.first = make(map[uint64]time.Time)
	}
	if _, ok := a.first[number]; !ok {
		a.first[number] = time.Now()
	}
	part := min(1, time.Since(a.first[number]).Seconds()/inForceTime.Seconds())
	return resource.InForce{Adopted: int(part * fleetBalancers), Known: fleetBalancers}
}
