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

// Times of the other writers: the least and the longest time between two of their reports.
const (
	minStrangeGap = 50 * time.Millisecond
	maxStrangeGap = 400 * time.Millisecond
)

// strangeReports are bodies that name no target to use; %s is the target's address.
var strangeReports = []string{
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

// strangeEntries are values of members' objects that name no balancer.
var strangeEntries = []string{``, `7`, `{}`, `{"messages":"0.0.0.0:0"}`, `{"messages":7}`, `{"messages":"198.18.0.1"}`}

// writeStrange sends reports and writes entries that name nothing to use until ctx ends. Every report must be turned down; that
// the targets go on being served is checked by the callers.
func (w *world) writeStrange(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		a := w.agents[random.IntN(len(w.agents))]
		body := strangeReports[random.IntN(len(strangeReports))]
		if strings.Contains(body, "%s") {
			body = fmt.Sprintf(body, w.targetAddress(a.target))
		}
		w.strangeReport(ctx, a, body)
		w.strangeEntry(ctx, n, strangeEntries[random.IntN(len(strangeEntries))])
		_ = wait.For(ctx, between(random, minStrangeGap, maxStrangeGap))
	}
}

// strangeReport sends one report under the target's own name; an agent that is away answers nothing.
func (w *world) strangeReport(ctx context.Context, a *agent, body string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	name := a.target.healthy()
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
		w.counts.violation("%s answered %d to the report %s", a.name, resp.StatusCode, body)
	}
}

// strangeEntry writes an object among the members.
func (w *world) strangeEntry(ctx context.Context, n int, value string) {
	if _, err := w.store.Create(ctx, dsrd.MemberKind, fmt.Sprintf("stranger-%d", n), []byte(value)); err != nil && !errors.Is(err, objectapi.ErrUnavailable) && !errors.Is(err, objectapi.ErrConflict) && ctx.Err() == nil {
		w.counts.violation("the stand-in for the object API failed: %v", err)
	}
}
