package dsrd

import (
	"maps"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// agentOutput carries out an agent's decisions; it runs under the agent's lock.
type agentOutput struct {
	a         *Agent
	toTarget  tally.Counter
	toCaller  tally.Counter
	resets    tally.Counter
	malformed tally.Counter
	held      tally.Timer
	late      tally.Counter
	decisions map[decisionKey]tally.Counter
}

// decisionKey identifies a counter of decisions.
type decisionKey struct {
	event   ownership.Event
	verdict dsrpb.Verdict
}

func newAgentOutput(a *Agent) *agentOutput {
	return &agentOutput{
		a:         a,
		toTarget:  a.scope.Counter("dsr_target_packets"),
		toCaller:  a.scope.Counter("dsr_caller_packets"),
		resets:    a.scope.Counter("dsr_resets"),
		malformed: a.scope.Counter("dsr_malformed_packets"),
		held:      a.scope.Timer("dsr_request_held"),
		late:      a.scope.Counter("dsr_requests_late"),
		decisions: make(map[decisionKey]tally.Counter),
	}
}

// ToTarget implements ownership.Output.
func (o *agentOutput) ToTarget(raw []byte) {
	o.toTarget.Inc(1)
	o.a.outbound.write(o.a.target, raw)
}

// ToCaller implements ownership.Output.
func (o *agentOutput) ToCaller(key flow.Key, raw []byte) {
	o.toCaller.Inc(1)
	o.a.toCaller(key, raw)
}

// Reset implements ownership.Output.
func (o *agentOutput) Reset(key flow.Key, sequence uint32) {
	o.resets.Inc(1)
	o.a.reset(key, sequence)
}

// ToBalancer implements ownership.Output.
func (o *agentOutput) ToBalancer(balancer netip.AddrPort, m *dsrpb.Message) {
	o.a.send(balancer, m)
}

// Decided implements ownership.Output.
func (o *agentOutput) Decided(d ownership.Decision) {
	o.counter(decisionKey{event: d.Event, verdict: d.Verdict}).Inc(1)
	if d.Event == ownership.EventRequestHeld {
		// Its end has a log line with the time that it was held.
		return
	}
	o.recordHeld(d)
	o.a.log.Info().Str("op", string(d.Event)).Uint64("flow", d.Hash).Stringer("caller", d.Key.Source).
		Stringer("destination", d.Key.Destination).Str("service", o.a.cfg.Service).Str("verdict", d.Verdict.String()).
		Int("busy", d.Busy).Int("slots", d.Slots).Float64("cold_per_second", d.ColdPerSecond).Stringer("balancer", d.Balancer).
		Dur("held_ms", d.Waited).Bool("late", d.Late).Uint64("configuration", configuration.DisplayVersion(d.Configuration)).Msg("flow decision")
}

// recordHeld measures how long a request on an open flow was held.
func (o *agentOutput) recordHeld(d ownership.Decision) {
	if d.Event != ownership.EventRequestHandedOver {
		return
	}
	o.held.Record(d.Waited)
	if d.Late {
		o.late.Inc(1)
	}
}

// HealthChanged implements ownership.Output.
func (o *agentOutput) HealthChanged(j ownership.HealthChange) {
	line := o.a.log.Warn().Str("op", "target-judged").Stringer("state", j.State).Int("failures_of_20", j.Failures).
		Dur("pace_ms", j.WorkTime).Int("busy", j.Busy)
	if j.LooksFailed {
		line = line.Dur("answer_ms", j.Answer.Time).Uint32("answer_bytes", j.Answer.Bytes).
			Dur("usual_ms", j.Median.Time).Uint32("usual_bytes", j.Median.Bytes)
	}
	if !j.Until.IsZero() {
		line = line.Dur("rest_ms", time.Until(j.Until))
	}
	line.Msg("outlier state of the target changed")
	o.a.balancers.MakeAllDue()
}

func (o *agentOutput) counter(k decisionKey) tally.Counter {
	c := o.decisions[k]
	if c == nil {
		tags := map[string]string{"event": string(k.event), "verdict": k.verdict.String()}
		c = o.a.scope.Tagged(tags).Counter("dsr_decisions")
		o.decisions[k] = c
	}
	return c
}

// agentStatus is what /status shows of an agent.
type agentStatus struct {
	Ready  string `json:"ready"`
	Target string `json:"target"`
	// TargetName, StartedMs (Unix milliseconds), FirstSeen and Sequence identify the target's current incarnation.
	TargetName string    `json:"targetName"`
	StartedMs  uint64    `json:"born"`
	FirstSeen  time.Time `json:"since"`
	Sequence   uint64    `json:"lastSequence"`
	// Rejected counts the rejected reports by reason.
	Rejected map[announcement.Reason]uint64 `json:"rejectedReports"`
	Busy     int                            `json:"busy"`
	Flows    int                            `json:"flows"`
	// Connections is the number of flows that count for the connection limit; closed ones do not.
	Connections     int    `json:"connections"`
	Configuration   uint64 `json:"configuration"`
	LivingBalancers int    `json:"livingBalancers"`
	// Evacuated is set while the agent's data centre takes no new flows; Unfinished flows had a packet lately and
	// have not ended.
	Evacuated  bool `json:"evacuated"`
	Unfinished int  `json:"unfinished"`
	// ColdPerSecond is the number of new flows that the target takes in any second while it is cold; 0 when it is
	// warm.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

func (a *Agent) status() any {
	s := agentStatus{Ready: "yes"}
	if err := a.ready(); err != nil {
		s.Ready = err.Error()
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.Target = a.table.State(now).String()
	incarnation := a.table.TargetIncarnation()
	s.TargetName, s.StartedMs, s.FirstSeen, s.Sequence = incarnation.ID, incarnation.StartedMs, incarnation.FirstSeen, incarnation.Sequence
	s.Rejected = maps.Clone(a.rejections)
	s.Connections = a.table.Connections()
	s.Busy, s.Flows, s.Configuration = a.table.Busy(), a.table.Flows(), configuration.DisplayVersion(a.table.Configuration())
	s.LivingBalancers = len(a.balancers.Living(now))
	s.Evacuated, s.Unfinished = a.table.Evacuated(), a.table.Unfinished(now, unfinishedWithin)
	s.ColdPerSecond = a.table.ColdPerSecond(now)
	return s
}
