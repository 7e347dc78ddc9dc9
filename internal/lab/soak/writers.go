package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsrd"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Bounds of the time between two invalid heartbeats.
const (
	minInvalidGap = 50 * time.Millisecond
	maxInvalidGap = 400 * time.Millisecond
)

// invalidReports are heartbeat bodies that an agent must reject; %s stands for the target's address.
var invalidReports = []string{
	``,
	`{"service":`,
	`[]`,
	`{"service":"other","address":"%s","zone":"z","version":"v","slots":3,"state":"ready","warmupLeftMs":0,"sequence":9000000}`,
	`{"service":"route-svc","address":"%s","zone":"z","version":"v","slots":3,"state":"gone","warmupLeftMs":0,"sequence":9000000}`,
	`{"service":"reports-svc","address":"%s","zone":"z","version":"v","slots":3,"state":"gone","warmupLeftMs":0,"sequence":9000000}`,
	`{"service":"route-svc","address":"%s","zone":"z","version":"v","slots":0,"state":"draining","warmupLeftMs":0,"sequence":9000000}`,
	`{"service":"route-svc","address":"%s","zone":"z","version":"v","slots":3,"state":"draining","warmupLeftMs":0,"sequence":"9"}`,
	`{"service":"reports-svc","address":"%s","zone":"z","version":"v","state":"draining","warmupLeftMs":0,"sequence":9000000}`,
	`{"service":"route-svc","address":"%s","state":"draining"}`,
}

// invalidMembers are values of member objects that do not describe a balancer.
var invalidMembers = []string{``, `7`, `{}`, `{"messages":"0.0.0.0:0"}`, `{"messages":7}`, `{"messages":"198.18.0.1"}`}

// writeInvalid sends invalid heartbeats to agents and writes invalid member objects until ctx ends. Agents must reject
// every heartbeat; callers check that targets are still served.
func (w *world) writeInvalid(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		a := w.agents[random.IntN(len(w.agents))]
		body := invalidReports[random.IntN(len(invalidReports))]
		if strings.Contains(body, "%s") {
			body = fmt.Sprintf(body, w.targetAddress(a.target))
		}
		w.sendInvalidReport(ctx, a, body)
		w.writeInvalidMember(ctx, n, invalidMembers[random.IntN(len(invalidMembers))])
		_ = wait.For(ctx, between(random, minInvalidGap, maxInvalidGap))
	}
}

// sendInvalidReport sends a heartbeat under the name of the agent's target; an unreachable agent is not a violation.
func (w *world) sendInvalidReport(ctx context.Context, a *agent, body string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	name := a.target.activeName()
	if name == "" {
		return
	}
	url := "http://" + a.target.control + platformtest.HeartbeatPath(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close() //nolint:errcheck // The body is not read.
	if resp.StatusCode/100 != 4 {
		w.counts.violation("%s answered %d to the invalid heartbeat %s", a.name, resp.StatusCode, body)
	}
}

// writeInvalidMember creates a member object with an invalid value.
func (w *world) writeInvalidMember(ctx context.Context, n int, value string) {
	if _, err := w.store.Create(ctx, dsrd.MemberKind, fmt.Sprintf("stranger-%d", n), []byte(value)); err != nil && !errors.Is(err, objectapi.ErrUnavailable) && !errors.Is(err, objectapi.ErrConflict) && ctx.Err() == nil {
		w.counts.violation("the stand-in for the object API failed: %v", err)
	}
}
