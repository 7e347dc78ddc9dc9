package balancer

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// refuse records the refusal and returns the reset for the caller. Refusals above the configured rate are not answered;
// they are merged into one record per reason and refusalReportPeriod.
//
// A packet of an open flow is dropped instead: other balancers may have a newer view, and a reset would cut the flow at
// its owner. An opening packet is dropped while this balancer has just started and may not have received configuration
// and targets yet; the caller retransmits it.
func (w *worker) refuse(in []byte, info packet.Info, reason refusal.Reason, service string, revision uint64, now time.Time) (netip.AddrPort, []byte) {
	none := netip.AddrPort{}
	if info.Reset {
		return none, nil
	}
	if !info.Opening || w.b.isStarting(reason, now) {
		w.b.metrics.unroutable.Inc(1)
		return none, nil
	}
	w.b.metrics.refused.Inc(1)
	if !w.b.refusals.AllowN(now, 1) {
		w.b.metrics.overRate.Inc(1)
		w.b.overflow.add(reason)
		return none, nil
	}
	w.b.recordRefusal(info.Key, reason, service, revision, now)
	if info.Key.Protocol != flow.ProtocolTCP {
		return none, nil
	}
	reset, ok := netstack.Reset(in)
	if !ok {
		return none, nil
	}
	return w.b.cfg.Fabric, reset
}

// isStarting reports whether the reason may be that the balancer has just started and has no complete view yet.
func (b *Balancer) isStarting(reason refusal.Reason, now time.Time) bool {
	return reason != refusal.ReasonUnknownAddress && now.Sub(b.started) < b.cfg.StartTime
}

func (b *Balancer) recordRefusal(k flow.Key, reason refusal.Reason, service string, revision uint64, now time.Time) {
	id := b.deps.Refusals.Record(refusal.Record{
		Time:        now,
		Service:     service,
		Caller:      k.Source,
		Destination: k.Destination,
		Flow:        k.Hash(),
		DecidedBy:   b.cfg.Name,
		Revision:    revision,
		Reason:      reason,
		Run:         refusal.RunNo,
	})
	b.deps.Log.Info().
		Str("op", "refuse").
		Str("reason", string(reason)).
		Str("service", service).
		Stringer("caller", k.Source).
		Stringer("destination", k.Destination).
		Uint64("revision", revision).
		Str("record", id).
		Msg("")
}

// overflow counts refusals above the rate by reason.
type overflow struct {
	unknownAddress  atomic.Uint32
	noTarget        atomic.Uint32
	noConfiguration atomic.Uint32
}

func (o *overflow) counter(reason refusal.Reason) *atomic.Uint32 {
	switch reason {
	case refusal.ReasonUnknownAddress:
		return &o.unknownAddress
	case refusal.ReasonNoTarget:
		return &o.noTarget
	}
	return &o.noConfiguration
}

func (o *overflow) add(reason refusal.Reason) { o.counter(reason).Add(1) }

// reportOverflow writes one record for each reason with refusals above the rate.
func (b *Balancer) reportOverflow(now time.Time) {
	reasons := []refusal.Reason{refusal.ReasonUnknownAddress, refusal.ReasonNoTarget, refusal.ReasonNoConfiguration}
	for _, reason := range reasons {
		n := b.overflow.counter(reason).Swap(0)
		if n == 0 {
			continue
		}
		b.deps.Refusals.Record(refusal.Record{
			Time:      now,
			Count:     n,
			DecidedBy: b.cfg.Name,
			Reason:    reason,
			Detail:    fmt.Sprintf("%d packets above %d refusals a second", n, b.cfg.RefusalRate),
			Run:       refusal.RunNo,
		})
	}
}
