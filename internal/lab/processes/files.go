package processes

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

const (
	fileMode = 0o644
	dirMode  = 0o755
	// callRate is the object API budget of each process, in calls per second.
	callRate = 50
)

// WriteFiles writes a settings file for each daemon, and the services, into dir.
func (l Layout) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	for n := range l.Balancers {
		s := l.balancer(n)
		if err := writeTOML(dir, s.Name, s); err != nil {
			return err
		}
	}
	for _, t := range l.targets() {
		s := l.agent(t)
		if err := writeTOML(dir, s.Name, s); err != nil {
			return err
		}
	}
	return l.writeServices(filepath.Join(dir, "services.json"))
}

func (l Layout) balancer(n int) settings.Balancer {
	s := settings.DefaultBalancer()
	s.Name = fmt.Sprintf("balancer-%d", n+1)
	s.Region, s.DataCentre = l.Deployment.Region, l.dataCentre(n)
	s.PacketAddress = l.addr(portBalancer + n).String()
	s.ControlAddress = l.addr(portBalancerGRPC + n).String()
	s.FabricAddress = l.addr(portFabric).String()
	s.ObjectAPI.URL = l.apiURL()
	s.ObjectAPI.CallsPerSecond = callRate
	for other := range l.Balancers {
		if other != n {
			s.Peers = append(s.Peers, l.addr(portBalancerGRPC+other).String())
		}
	}
	return s
}

func (l Layout) agent(t targetPlace) settings.Agent {
	s := settings.DefaultAgent()
	s.Name = t.name
	s.Region, s.DataCentre = l.Deployment.Region, l.dataCentre(t.n)
	s.PacketAddress = l.addr(portAgent + t.n).String()
	s.AnnounceAddress = l.addr(portAnnounce + t.n).String()
	s.ControlAddress = l.addr(portAgentControl + t.n).String()
	s.TargetAddress = l.addr(portTarget + t.n).String()
	s.FabricAddress = l.addr(portFabric).String()
	for n := range l.Balancers {
		s.Balancers = append(s.Balancers, l.addr(portBalancerGRPC+n).String())
	}
	return s
}

func (l Layout) apiURL() string { return "http://" + l.addr(portAPI).String() }

func writeTOML(dir, name string, v any) error {
	b, err := toml.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "settings of %s", name)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(dir, name+".toml"), b, fileMode))
}

func (l Layout) writeServices(path string) error {
	var out []byte
	for _, s := range l.services() {
		b, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return trace.Wrap(err)
		}
		out = append(append(out, b...), '\n')
	}
	return trace.ConvertSystemError(os.WriteFile(path, out, fileMode))
}
