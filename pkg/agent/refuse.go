package agent

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// refuse records why a caller's packet is refused, then answers a TCP packet with a reset. A reset from the caller is
// neither recorded nor answered.
func (a *Agent) refuse(s *service, raw []byte, info packet.Info, hash uint64, reason refusal.Reason, detail string, now time.Time) {
	a.metrics.refused.Inc(1)
	if info.Reset {
		return
	}
	if a.refused.isFirst(hash, now) {
		a.record(s, info.Key, hash, reason, detail, now)
	}
	if info.Key.Protocol != flow.ProtocolTCP {
		return
	}
	if reset, ok := netstack.Reset(raw); ok {
		a.fabric.send(reset)
	}
}

// record writes a refusal record and a log line. The target gets no more work of the flow afterwards; for a flow that
// was open, it is unknown whether it already ran some.
func (a *Agent) record(s *service, key flow.Key, hash uint64, reason refusal.Reason, detail string, now time.Time) {
	r := refusal.Record{
		Time:        now,
		Count:       1,
		Caller:      key.Source,
		Destination: key.Destination,
		Flow:        hash,
		DecidedBy:   a.cfg.Name,
		Reason:      reason,
		Detail:      detail,
		Run:         runOf(reason),
	}
	if s != nil {
		r.Service, r.Revision = s.Name, s.Revision
	}
	id := a.deps.Refusals.Record(r)
	a.deps.Log.Warn().
		Str("op", "refuse").
		Str("service", r.Service).
		Uint64("flow", hash).
		Stringer("caller", key.Source).
		Str("reason", string(reason)).
		Str("detail", detail).
		Str("record", id).
		Send()
}

func runOf(reason refusal.Reason) refusal.Run {
	switch reason {
	case refusal.ReasonTargetDied, refusal.ReasonOwnerLost, refusal.ReasonDrainTimeOver, refusal.ReasonWrongService:
		return refusal.RunUnknown
	}
	return refusal.RunNo
}
