package dsrd

import (
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// openBuckets are the upper bounds of the histogram of the times until a new flow was accepted: the outliers are
// multiples of the 25 ms after which the next agent is asked.
var openBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second,
}

// reportAgeBuckets are the upper bounds of the histogram of the age of the report by which a target was chosen.
var reportAgeBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// maxImbalanceGauges bounds the services with a gauge of their imbalance.
const maxImbalanceGauges = 64

// balancerOutput carries out a balancer's decisions; it runs under the balancer's lock.
type balancerOutput struct {
	b         *Balancer
	forwarded tally.Counter
	resets    tally.Counter
	malformed tally.Counter
	decisions map[dispatch.Event]tally.Counter
	refused   map[refusal.Reason]tally.Counter
	opened    tally.Histogram
	reportAge tally.Histogram
	// imbalances are the gauges by service, at most maxImbalanceGauges.
	imbalances map[string]tally.Gauge
}

func newBalancerOutput(b *Balancer) *balancerOutput {
	o := &balancerOutput{
		b:         b,
		forwarded: b.scope.Counter("dsr_forwarded_packets"),
		resets:    b.scope.Counter("dsr_resets"),
		malformed: b.scope.Counter("dsr_malformed_packets"),
		decisions: make(map[dispatch.Event]tally.Counter),
		refused:   make(map[refusal.Reason]tally.Counter),
		opened:    b.scope.Histogram("dsr_open_time", openBuckets),
		reportAge: b.scope.Histogram("dsr_report_age", reportAgeBuckets),

		imbalances: make(map[string]tally.Gauge),
	}
	return o
}

// ToAgent implements dispatch.Output.
func (o *balancerOutput) ToAgent(agent netip.AddrPort, m *dsrpb.Message) {
	o.forwarded.Inc(1)
	o.b.send(agent, m)
}

// Reset implements dispatch.Output.
func (o *balancerOutput) Reset(key flow.Key, sequence uint32) {
	o.resets.Inc(1)
	o.b.reset(key, sequence)
}

// Outdated implements dispatch.Output.
func (o *balancerOutput) Outdated(version uint64) {
	o.b.configSync.recordNewer(version, netip.AddrPort{})
}

// SaturationChanged implements dispatch.Output.
func (o *balancerOutput) SaturationChanged(s overload.Status) {
	var demand float64
	for _, d := range s.Demands {
		demand += d.PerSecond
	}
	line := o.b.log.Warn().Str("service", s.Service).Float64("demand_per_second", demand).Float64("capacity_per_second", s.Capacity).
		Dur("wait_ms", s.Wait)
	if s.SaturatedSince.IsZero() {
		o.overloadCounter("ends").Inc(1)
		line.Str("op", "overload-ends").Msg("service is no longer overloaded")
		return
	}
	o.overloadCounter("begins").Inc(1)
	line.Str("op", "overload-begins").Ints("priorities_refused", s.Refused).Msg("service is overloaded")
}

func (o *balancerOutput) overloadCounter(change string) tally.Counter {
	return o.b.scope.Tagged(map[string]string{"change": change}).Counter("dsr_overloads")
}

// Refused implements dispatch.Output.
func (o *balancerOutput) Refused(r dispatch.Refusal) {
	o.refusedCounter(r.Reason).Inc(1)
	id := o.b.refusals.Record(refusal.Record{
		Service:     r.Service,
		Caller:      r.Key.Source,
		Destination: r.Key.Destination,
		Flow:        r.Hash,
		Revision:    configuration.DisplayVersion(r.Configuration),
		Reason:      r.Reason,
		Run:         r.Run,
	})
	o.b.log.Warn().Str("op", "refuse").Str("record", id).Uint64("flow", r.Hash).Stringer("caller", r.Key.Source).
		Stringer("destination", r.Key.Destination).Str("service", r.Service).Str("reason", string(r.Reason)).Str("run", string(r.Run)).Bool("told", r.Notified).
		Int("tried", r.Tried).Dur("waited_ms", r.Waited).Uint64("configuration", configuration.DisplayVersion(r.Configuration)).Msg("flow refused")
}

// Decided implements dispatch.Output.
func (o *balancerOutput) Decided(d dispatch.Decision) {
	o.decisionCounter(d.Event).Inc(1)
	if d.Event == dispatch.EventPlaced {
		o.opened.RecordDuration(d.Waited)
		o.reportAge.RecordDuration(d.ReportAge)
		o.recordImbalance(d.Service, d.Imbalance)
	}
	o.b.log.Info().Str("op", string(d.Event)).Uint64("flow", d.Hash).Stringer("caller", d.Key.Source).
		Stringer("destination", d.Key.Destination).Str("service", d.Service).Stringer("agent", d.Agent).
		Str("verdict", d.Verdict.String()).Float64("load", d.Load).Dur("report_age_ms", d.ReportAge).Dur("expected_ms", d.Expected).
		Int("tried", d.Tried).Dur("waited_ms", d.Waited).Uint64("configuration", configuration.DisplayVersion(d.Configuration)).Msg("flow decision")
}

// recordImbalance sets the gauge of a service's imbalance; services beyond maxImbalanceGauges have none.
func (o *balancerOutput) recordImbalance(service string, imbalance float64) {
	g := o.imbalances[service]
	if g == nil && len(o.imbalances) >= maxImbalanceGauges {
		return
	}
	if g == nil {
		g = o.b.scope.Tagged(map[string]string{"service": service}).Gauge("dsr_target_imbalance")
		o.imbalances[service] = g
	}
	g.Update(imbalance)
}

func (o *balancerOutput) decisionCounter(e dispatch.Event) tally.Counter {
	c := o.decisions[e]
	if c == nil {
		c = o.b.scope.Tagged(map[string]string{"event": string(e)}).Counter("dsr_decisions")
		o.decisions[e] = c
	}
	return c
}

func (o *balancerOutput) refusedCounter(r refusal.Reason) tally.Counter {
	c := o.refused[r]
	if c == nil {
		c = o.b.scope.Tagged(map[string]string{"reason": string(r)}).Counter("dsr_refused_flows")
		o.refused[r] = c
	}
	return c
}
