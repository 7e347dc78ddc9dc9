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
		return status.Error(codes.InvalidArgument, "watch service: no service named")
	}
	if err := grpc.SetSendCompressor(s.Context(), gzip.Name); err != nil {
		return status.Errorf(codes.Internal, "watch service: %v", err)
	}
	n := c.node
	changes, cancel := n.table.Subscribe()
	defer cancel()
	revisions, stop := n.revisionChanges.subscribe()
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

// agentsToleranceDivisor is the part of the number of agents, one in so many, by which it may change without an update.
const agentsToleranceDivisor = 10

// serviceWatch is the state of one stream of a target service.
type serviceWatch struct {
	node     *Node
	service  string
	started  bool
	version  uint64
	revision uint64
	// agents is the last number of live agents that the stream sent.
	agents int
	sent   map[string][]byte
}

// next returns what has changed since the last call, or nil. The first update is a snapshot.
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

// agentsDiffer reports whether the number of live agents is more than a tenth away from the one that was sent. Smaller
// changes go with the next update, because each costs a message for every agent of the fleet.
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

// configs returns the services that the targets serve. Specifications that the stream has sent are left out.
func (w *serviceWatch) configs() (configs []*peerpb.ServiceConfig, changed bool) {
	r, _ := w.node.cfg.Adopter.Current()
	names := make(map[string]bool)
	for _, s := range r.Services {
		if cmp.Or(s.Spec.Targets, s.Name) != w.service {
			continue
		}
		names[s.Name] = true
		config, news := w.config(s)
		configs = append(configs, config)
		changed = changed || news
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
