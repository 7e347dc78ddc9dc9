package dsrd

import (
	"errors"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
)

// balancerStatus is what /status shows of a balancer.
type balancerStatus struct {
	Ready         string `json:"ready"`
	Configuration uint64 `json:"configuration"`
	// Era is the newest known era of the object API, 0 when it reports none.
	Era             uint64  `json:"era"`
	Label           string  `json:"label"`
	CheckedSeconds  float64 `json:"checkedSeconds"`
	Flows           int     `json:"flows"`
	LivingAgents    int     `json:"livingAgents"`
	ReadyAgents     int     `json:"readyAgents"`
	LivingBalancers int     `json:"livingBalancers"`
	// Evacuated are the data centres that get no new flows, EvacuationsVersion is the object API's version at which
	// they were read, 0 before they are known.
	Evacuated          []string `json:"evacuated"`
	EvacuationsVersion uint64   `json:"evacuationsVersion"`
	// ListedAgents is the number of agents that may hold open flows, AllAgentsListed is set when all of them are known, and
	// ListReadSeconds is the time since the list that this balancer read at its start was last confirmed, -1 if it read
	// none.
	ListedAgents    int     `json:"listedAgents"`
	AllAgentsListed bool    `json:"allAgentsListed"`
	ListReadSeconds float64 `json:"listReadSeconds"`
}

func (b *Balancer) status() any {
	now := time.Now()
	s := balancerStatus{Ready: "yes"}
	if err := b.ready(); err != nil {
		s.Ready = err.Error()
	}
	version, age, _ := b.configSync.state(now)
	s.Configuration, s.CheckedSeconds = configuration.DisplayVersion(version), age.Seconds()
	s.Era = b.eras.Newest()
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Label, s.Flows = b.core.Routes().Label(), b.core.Flows()
	s.LivingAgents, s.ReadyAgents = b.core.Agents(now)
	s.LivingBalancers = len(b.balancers.Living(now))
	evacuations := b.core.Evacuations()
	s.Evacuated, s.EvacuationsVersion = evacuations.DataCentres, evacuations.Version
	s.ListedAgents, s.AllAgentsListed = b.core.Directory().Len(), b.core.Directory().Complete(now)
	s.ListReadSeconds = secondsSince(now, b.directoryConfirmed)
	return s
}

// secondsSince returns the time since another, -1 when that is zero.
func secondsSince(now, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Seconds()
}

// errNoTargets is returned to a target that calls a balancer.
var errNoTargets = errors.New("a balancer takes no announcements; call the agent on the target's VM")

// Announce implements Targets.
func (noTargets) Announce(announcement.Announcement) error { return errNoTargets }

// Left implements Targets.
func (noTargets) Left(announcement.Deregistration) error { return errNoTargets }

// Rejected implements Targets.
func (noTargets) Rejected(string, *announcement.Rejection) {}
