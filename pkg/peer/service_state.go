package peer

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// serviceState combines the updates that an agent receives from several balancers: member records are merged, and the
// configurations of the highest revision are used.
type serviceState struct {
	now       func() time.Time
	onView    func(*view.Service)
	onRemoved func(string)
	onAgents  func(uint32)

	mu        sync.Mutex
	table     *membership.Table
	sources   map[string]*watchSource
	revision  uint64
	configs   []resource.ServiceConfig
	published map[string]*view.Service
	// agents is the number of live agents last passed to onAgents.
	agents uint32
}

// watchSource is the state received from one balancer's stream.
type watchSource struct {
	members map[string]bool
	specs   map[string]resource.ServiceSpec
	agents  uint32
}

func newServiceState(c SessionConfig) *serviceState {
	return &serviceState{
		now:       c.Now,
		onView:    c.OnView,
		onRemoved: c.OnRemoved,
		onAgents:  c.OnAgents,
		table:     membership.NewTable(membership.TableConfig{}),
		sources:   make(map[string]*watchSource),
		published: make(map[string]*view.Service),
	}
}

// apply applies an update from the balancer at addr.
func (s *serviceState) apply(addr string, u *peerpb.ServiceUpdate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.source(addr, u.GetSnapshot())
	source.agents = u.GetAgents()
	s.publishAgents()
	for _, p := range u.GetMembers() {
		m := memberFromProto(p)
		source.members[m.ID] = true
		s.table.Merge(m, s.now())
	}
	if u.GetSnapshot() {
		s.removeUnlisted()
	}
	if err := s.applyConfigs(source, u); err != nil {
		return err
	}
	s.publish()
	return nil
}

func (s *serviceState) source(addr string, snapshot bool) *watchSource {
	source, ok := s.sources[addr]
	if ok && !snapshot {
		return source
	}
	source = &watchSource{members: make(map[string]bool), specs: make(map[string]resource.ServiceSpec)}
	s.sources[addr] = source
	return source
}

// removeSource removes the state of a balancer whose stream has ended. Members that only it listed stay until the next
// snapshot of any balancer.
func (s *serviceState) removeSource(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sources, addr)
}

// ready reports whether the stream to the balancer at addr has sent a view.
func (s *serviceState) ready(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources[addr] != nil
}

// publishAgents reports the highest number of live agents that a balancer sent. A balancer that has just started or is
// cut off counts too few, and a limit that is divided by the number must not be exceeded.
func (s *serviceState) publishAgents() {
	var agents uint32
	for _, source := range s.sources {
		agents = max(agents, source.agents)
	}
	if agents == s.agents {
		return
	}
	s.agents = agents
	s.onAgents(agents)
}

// removeUnlisted removes members that no balancer lists any longer, because their tombstones have expired.
func (s *serviceState) removeUnlisted() {
	for _, m := range s.table.Members() {
		listed := false
		for _, source := range s.sources {
			listed = listed || source.members[m.ID]
		}
		if !listed {
			s.table.Remove(m.ID)
		}
	}
}

// applyConfigs replaces the configurations unless a higher revision has been received.
func (s *serviceState) applyConfigs(source *watchSource, u *peerpb.ServiceUpdate) error {
	configs := make([]resource.ServiceConfig, 0, len(u.GetConfigs()))
	for _, p := range u.GetConfigs() {
		spec, err := source.spec(p)
		if err != nil {
			return err
		}
		configs = append(configs, resource.ServiceConfig{Name: p.GetName(), Spec: spec})
	}
	if u.GetRevision() < s.revision {
		return nil
	}
	s.revision, s.configs = u.GetRevision(), configs
	return nil
}

// spec returns a service's specification, which an update omits when the stream has sent it before.
func (w *watchSource) spec(p *peerpb.ServiceConfig) (resource.ServiceSpec, error) {
	if len(p.GetSpec()) == 0 {
		spec, ok := w.specs[p.GetName()]
		if !ok {
			return spec, trace.NotFound("update has no specification of service %s, and none was received before", p.GetName())
		}
		return spec, nil
	}
	var spec resource.ServiceSpec
	if err := json.Unmarshal(p.GetSpec(), &spec); err != nil {
		return spec, trace.Wrap(err, "decode specification of service %s", p.GetName())
	}
	w.specs[p.GetName()] = spec
	return spec, nil
}

// publish passes the views that have changed to onView and the names of removed services to onRemoved.
func (s *serviceState) publish() {
	rev := resource.Revision{Number: s.revision, Services: s.configs}
	v := view.Build(rev, s.table.Members())
	names := make(map[string]bool)
	for _, service := range v.Services {
		names[service.Name] = true
		if reflect.DeepEqual(service, s.published[service.Name]) {
			continue
		}
		s.published[service.Name] = service
		s.onView(service)
	}
	for _, name := range slices.Sorted(maps.Keys(s.published)) {
		if names[name] {
			continue
		}
		delete(s.published, name)
		s.onRemoved(name)
	}
}

// member returns the merged record of a member as received from the balancers.
func (s *serviceState) member(id string) (membership.Member, bool) {
	return s.table.Get(id)
}
