package control

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// recordSpan is how far back refusal records are read.
const recordSpan = 30 * time.Minute

// records returns the refusal records in the store and those that live balancers hold.
func (c *cluster) records() []refusal.Record {
	var out []refusal.Record
	for _, b := range c.live() {
		out = append(out, b.daemon.Refusals().Held()...)
	}
	now := time.Now()
	q := refusal.Query{From: now.Add(-recordSpan), To: now.Add(time.Minute)}
	if a, err := refusal.NewReader(c.truth.inner).Find(context.Background(), q); err == nil {
		out = append(out, a.Records...)
	}
	return out
}

// missingRecords returns the refused callers that no record covers.
func (c *cluster) missingRecords() []netip.AddrPort {
	single := make(map[netip.AddrPort]bool)
	var merged []netip.Prefix
	for _, r := range c.records() {
		single[r.Caller] = true
		if r.Count > 1 && r.Callers.IsValid() {
			merged = append(merged, r.Callers)
		}
	}
	var out []netip.AddrPort
	for caller := range c.callers.refusedCallers() {
		if !single[caller] && !anyContains(merged, caller.Addr()) {
			out = append(out, caller)
		}
	}
	return out
}

func anyContains(list []netip.Prefix, a netip.Addr) bool {
	for _, p := range list {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// falseRecords describes incorrect records: every caller of the run used an address that no service has, so any other
// reason, destination, service or run state is wrong, and so is a deciding process that isn't a balancer of the run.
func (c *cluster) falseRecords() []string {
	names := make(map[string]bool)
	for _, b := range c.everyBalancer() {
		names[b.name] = true
	}
	var out []string
	for _, r := range c.records() {
		to := netip.AddrPortFrom(unknownAddress, unknownPort)
		switch {
		case r.Reason != refusal.ReasonUnknownAddress, r.Destination != to, r.Service != "", r.Run != refusal.RunNo:
			out = append(out, "record "+r.ID+" for "+r.Caller.String()+" is incorrect: "+string(r.Reason))
		case !names[r.DecidedBy] || !strings.HasPrefix(r.ID, r.DecidedBy+"/"):
			out = append(out, "record "+r.ID+" names "+r.DecidedBy+", which didn't decide it")
		}
	}
	return out
}
