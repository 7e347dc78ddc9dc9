package peer

import (
	"bytes"
	"cmp"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// WatchService implements peerpb.ControlServer.
func (c *control) WatchService(r *peerpb.WatchServiceRequest, s peerpb.Control_WatchServiceServer) error {
	if r.GetService() == "" {
		return status.Error(codes.InvalidArgument, "watch service: service is required")
	}
	if err := grpc.SetSendCompressor(s.Context(), gzip.Name); err != nil {
		return status.Errorf(codes.Internal, "watch service: %v", err)
	}
	n := c.node
	changes, cancel := n.table.Subscribe()
	defer cancel()
	revisions, stop := n.changes.subscribe()
	defer stop()
	w := &serviceWatch{node: n, service: r.GetService(), sent: make(map[string][]byte)}
	for {
		if u := w.next(); u != nil {
			if err := s.Send(u); err != nil {
				return err
			}
		}
		select {
		case <-s.Context().Done():
			return nil
		case <-changes:
		case <-revisions:
		}
		_ = wait.For(s.Context(), watchBatchDelay)
	}
}

// agentsToleranceDivisor is the inverse of the fraction by which the number of agents may change without an update.
const agentsToleranceDivisor = 10

// serviceWatch is the state of one watch stream.
type serviceWatch struct {
	node     *Node
	service  string
	started  bool
	version  uint64
	revision uint64
	// agents is the number of live agents last sent.
	agents int
	// sent holds the JSON of the specification last sent of each service.
	sent map[string][]byte
}

// next returns the changes since the last call, or nil when there are none. The first update is a snapshot.
func (w *serviceWatch) next() *peerpb.ServiceUpdate {
	version := w.node.table.Version()
	members := w.members()
	configs, changed := w.configs()
	r, _ := w.node.cfg.Adopter.Current()
	w.version = version
	agents := w.node.table.LiveAgents()
	if w.started && len(members) == 0 && !changed && r.Number == w.revision && !agentsDiffer(w.agents, agents) {
		return nil
	}
	u := &peerpb.ServiceUpdate{
		Revision: r.Number, Snapshot: !w.started, Members: members, Configs: configs, Agents: uint32(agents),
	}
	w.started = true
	w.revision = r.Number
	w.agents = agents
	return u
}

// agentsDiffer reports whether the number of live agents differs by more than a tenth from the one last sent. Smaller
// changes wait for the next update, because an update of its own costs a message to every agent of the fleet.
func agentsDiffer(sent, now int) bool {
	return agentsToleranceDivisor*max(sent-now, now-sent) > sent
}

func (w *serviceWatch) members() []*peerpb.Member {
	var members []*peerpb.Member
	for _, m := range w.node.table.ChangedSince(w.version) {
		if m.Role == membership.RoleAgent && m.Service == w.service {
			members = append(members, memberToProto(&m))
		}
	}
	return members
}

// configs returns the configurations of the services that the targets serve, and whether any has changed since the last
// update. Specifications that the stream has already sent are omitted.
func (w *serviceWatch) configs() (configs []*peerpb.ServiceConfig, changed bool) {
	r, _ := w.node.cfg.Adopter.Current()
	names := make(map[string]bool)
	for _, s := range r.Services {
		if cmp.Or(s.Spec.Targets, s.Name) != w.service {
			continue
		}
		names[s.Name] = true
		config, differs := w.config(s)
		configs = append(configs, config)
		changed = changed || differs
	}
	for name := range w.sent {
		if !names[name] {
			delete(w.sent, name)
			changed = true
		}
	}
	return configs, changed
}

func (w *serviceWatch) config(s resource.ServiceConfig) (config *peerpb.ServiceConfig, changed bool) {
	spec, err := json.Marshal(s.Spec)
	if err != nil {
		w.node.cfg.Log.Error().Err(err).Str("op", "encode service").Str("service", s.Name).Send()
	}
	last := w.sent[s.Name]
	w.sent[s.Name] = spec
	config = &peerpb.ServiceConfig{Name: s.Name}
	if !bytes.Equal(last, spec) {
		config.Spec = spec
		changed = true
	}
	return config, changed
}
