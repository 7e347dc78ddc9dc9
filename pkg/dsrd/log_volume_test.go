package dsrd

import (
	"bytes"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

// lineCounter counts the lines that a process logs.
type lineCounter struct {
	mu    sync.Mutex
	lines int
	bytes int
}

func (c *lineCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines += bytes.Count(p, []byte{'\n'})
	c.bytes += len(p)
	return len(p), nil
}

// maxLineBytes is the longest line of a decision: names of 63 bytes and addresses of 47 in every field.
const maxLineBytes = 700

// At ten times the load that a balancer is designed for, and a flood of refusals, its log stays within the stated
// limits.
func TestTheLogOfABusyBalancerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seconds   = 20
			placed    = 20000
			refusedBy = 5000
			step      = 10 * time.Millisecond
		)
		out := &lineCounter{}
		w := telemetry.NewLogWriter(out)
		log, err := telemetry.NewLogger(w, settings.DefaultLog(), settings.Process{Name: "balancer-amman-east-17", DataCentre: "russeifa-hall"})
		require.NoError(t, err)
		b := &Balancer{node: &node{log: log, scope: tally.NoopScope}}
		b.refusals = refusal.NewLog(refusal.Config{Process: "balancer", Incarnation: 1, Store: store.New(store.Config{}), Logger: log, Scope: tally.NoopScope})
		o := newBalancerOutput(b)
		key := flow.Key{Source: netip.MustParseAddrPort("203.0.113.250:60001"), Destination: netip.MustParseAddrPort("198.51.100.200:8443"), Protocol: flow.ProtocolTCP}
		for range seconds * int(time.Second/step) {
			for range placed / int(time.Second/step) {
				o.Decided(dispatch.Decision{Event: dispatch.EventPlaced, Key: key, Hash: key.Hash(), Service: "manifest-post-service", Agent: key.Source, Load: 1.0 / 3, Tried: 2})
			}
			for range refusedBy / int(time.Second/step) {
				o.Refused(dispatch.Refusal{Key: key, Hash: key.Hash(), Service: "manifest-post-service", Reason: refusal.ReasonAllFull, Run: refusal.RunNo, Notified: true, Tried: 5})
			}
			time.Sleep(step)
		}
		w.Close()
		routine, important := w.Dropped()
		const most = seconds*(telemetry.RoutineLinesPerSecond+telemetry.ImportantLinesPerSecond) + telemetry.RoutineBurst + telemetry.ImportantBurst
		require.LessOrEqual(t, out.lines, most+seconds, "one line a second reports what was dropped")
		require.LessOrEqual(t, out.bytes, out.lines*maxLineBytes)
		require.GreaterOrEqual(t, out.lines+int(routine+important), seconds*(placed+refusedBy), "dropped lines are counted")
		t.Logf("%d lines and %d kB a second written of %d lines", out.lines/seconds, out.bytes/seconds/1000, placed+refusedBy)
	})
}
