package passthrough

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/store"
)

// These tests make a request fail and find the cause in the log by the caller's address alone, as docs/OPERATIONS.md
// describes.

type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// line is one decoded log line.
type line struct {
	Op            string  `json:"op"`
	Caller        string  `json:"caller"`
	Reason        string  `json:"reason"`
	Record        string  `json:"record"`
	Verdict       string  `json:"verdict"`
	Agent         string  `json:"agent"`
	Peer          string  `json:"peer"`
	Flow          uint64  `json:"flow"`
	Tried         int     `json:"tried"`
	Busy          int     `json:"busy"`
	Configuration uint64  `json:"configuration"`
	Label         string  `json:"label"`
	State         string  `json:"state"`
	Waited        float64 `json:"waited_ms"`
}

// lines returns the decoded lines for which keep returns true.
func (l *logBuffer) lines(t *testing.T, keep func(line) bool) []line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []line
	for text := range bytes.Lines(l.b.Bytes()) {
		var one line
		require.NoError(t, json.Unmarshal(text, &one), string(text))
		if keep(one) {
			out = append(out, one)
		}
	}
	return out
}

// forCaller returns the lines with the caller's address.
func (l *logBuffer) forCaller(t *testing.T, caller netip.AddrPort) []line {
	return l.lines(t, func(one line) bool { return one.Caller == caller.String() })
}

// refusal waits for the log line of a caller's refusal, which is written just after the packet to the caller is sent.
func (l *logBuffer) refusal(t *testing.T, caller netip.AddrPort) line {
	t.Helper()
	var refused line
	require.Eventually(t, func() bool {
		var ok bool
		refused, ok = has(l.forCaller(t, caller), "refuse")
		return ok
	}, 10*time.Second, 20*time.Millisecond)
	return refused
}

func has(lines []line, op string) (line, bool) {
	for _, one := range lines {
		if one.Op == op {
			return one, true
		}
	}
	return line{}, false
}

// newTestLab returns an installation with the given number of targets, not yet started, and its log.
func newTestLab(t *testing.T, targets int) (*lab, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	d := flows.Deployment{
		Name: "test", Region: "r", DataCentres: []string{"dc-1"},
		Services: []flows.ServiceSize{{Name: "route-svc", Targets: targets, Slots: 1}},
	}
	l, err := newLab(Options{Balancers: 1, Log: zerolog.New(log)}.withDefaults(), d)
	require.NoError(t, err)
	t.Cleanup(l.close)
	return l, log
}

// flow runs a flow with the given number of requests and returns its caller's address.
func flow(t *testing.T, l *lab, requests int) netip.AddrPort {
	t.Helper()
	return flowsAtOnce(t, l, requests, 1)[0]
}

// flowsAtOnce runs n flows concurrently and returns their callers' addresses.
func flowsAtOnce(t *testing.T, l *lab, requests, n int) []netip.AddrPort {
	t.Helper()
	var out []netip.AddrPort
	var all sync.WaitGroup
	for range n {
		c, err := l.newCaller(rand.New(rand.NewPCG(1, 1)), 0)
		require.NoError(t, err)
		c.requests = requests
		out = append(out, c.address)
		all.Go(func() { c.run(t.Context()) })
	}
	all.Wait()
	return out
}

func TestRefusalForLackOfCapacityIsExplained(t *testing.T) {
	l, log := newTestLab(t, 1)
	require.NoError(t, l.start(t.Context()))
	var wg sync.WaitGroup
	for range 250 {
		wg.Go(func() { flow(t, l, 1) })
	}
	wg.Wait()
	require.Positive(t, l.tally.finish().Refused)
	refused := log.lines(t, func(one line) bool { return one.Op == "refuse" })
	require.NotEmpty(t, refused)
	one := refused[0]
	require.Contains(t, []string{"all-targets-full", "deadline-cannot-be-met"}, one.Reason)
	require.NotEmpty(t, one.Record)
	declined := log.lines(t, func(x line) bool { return x.Flow == one.Flow && x.Busy > 0 })
	require.NotEmpty(t, declined, "the agent logs its load with the same flow hash")
}

func TestTargetDeathDuringFlowIsExplained(t *testing.T) {
	l, log := newTestLab(t, 1)
	require.NoError(t, l.start(t.Context()))
	target := l.agents[0].target
	time.AfterFunc(400*time.Millisecond, func() {
		target.mu.Lock()
		defer target.mu.Unlock()
		clear(target.flows)
	})
	caller := flow(t, l, maxRequests)
	// The agent logs the reset after it sent it and before it notifies the balancer, which logs the refusal.
	refused := log.refusal(t, caller)
	require.Equal(t, "target-died", refused.Reason)
	lines := log.forCaller(t, caller)
	_, accepted := has(lines, "accepted")
	require.True(t, accepted)
	_, reset := has(lines, "reset")
	require.True(t, reset, "the agent logs that the target lost the flow")
}

func TestLateOpenAfterAgentDeathIsExplained(t *testing.T) {
	l, log := newTestLab(t, 2)
	require.NoError(t, l.start(t.Context()))
	dead := l.agents[0]
	dead.daemon.Close()
	<-dead.done
	// Two concurrent flows are placed on different targets, as each target has one slot.
	var late []line
	for _, caller := range flowsAtOnce(t, l, 1, 2) {
		lines := log.forCaller(t, caller)
		if _, ok := has(lines, "unanswered"); ok {
			late = lines
		}
	}
	require.NotNil(t, late, "a flow must have been offered to the dead agent")
	unanswered, _ := has(late, "unanswered")
	placed, ok := has(late, "placed")
	require.True(t, ok)
	require.Equal(t, 2, placed.Tried)
	require.GreaterOrEqual(t, placed.Waited, 25.0)
	require.NotEqual(t, unanswered.Agent, placed.Agent)
	require.Eventually(t, func() bool {
		return len(log.lines(t, func(one line) bool { return one.Op == "agent-lost" && one.Peer == unanswered.Agent })) > 0
	}, 10*time.Second, 20*time.Millisecond, "the balancer logs that the agent was lost")
}

func TestRefusalByRemovedRouteIsExplained(t *testing.T) {
	l, log := newTestLab(t, 1)
	require.NoError(t, l.start(t.Context()))
	l.services[0].address = netip.MustParseAddrPort("198.51.100.77:80")
	refused := log.refusal(t, flow(t, l, 1))
	require.Equal(t, "unknown-address", refused.Reason)
	adopted := log.lines(t, func(one line) bool {
		return one.Op == "adopt-configuration" && one.Configuration == refused.Configuration
	})
	require.Len(t, adopted, 1, "the refusal names the version that the balancer adopted")
	require.Equal(t, fmt.Sprint(l.version), adopted[0].Label)
}

func TestStoreOutageAtBalancerStartIsExplained(t *testing.T) {
	l, log := newTestLab(t, 0)
	l.store.SetFaults(store.Faults{Outage: true})
	require.NoError(t, l.startBalancer(l.store))
	refused := log.refusal(t, flow(t, l, 1))
	require.Equal(t, "no-configuration", refused.Reason)
	lost := log.lines(t, func(one line) bool { return one.Op == "check-configuration" })
	require.NotEmpty(t, lost, "the balancer logs that the object API is unreachable")
	require.Empty(t, log.lines(t, func(one line) bool { return one.Op == "adopt-configuration" }))
}
