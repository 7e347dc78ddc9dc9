package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// harness runs commands against an in-memory store.
type harness struct {
	t      *testing.T
	store  *store.Store
	answer refusal.QueryResult
	query  refusal.Query
	stdin  string
	out    bytes.Buffer
	errs   bytes.Buffer
	now    time.Time
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, store: store.New(store.Config{WatchWait: time.Second}), now: time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)}
}

// Find implements RefusalReader.
func (d *harness) Find(_ context.Context, q refusal.Query) (refusal.QueryResult, error) {
	d.query = q
	return d.answer, nil
}

// run runs a command, checks its exit code and returns its standard output.
func (d *harness) run(code int, args ...string) string {
	d.t.Helper()
	d.out.Reset()
	d.errs.Reset()
	a := App{
		Stdin:    strings.NewReader(d.stdin),
		Stdout:   &d.out,
		Stderr:   &d.errs,
		Open:     func(Protocol, string, time.Duration) objectapi.Store { return d.store },
		Refusals: func(objectapi.Store) RefusalReader { return d },
		Now:      func() time.Time { return d.now },
	}
	got := a.Main(d.t.Context(), append([]string{"--server", "http://api"}, args...))
	require.Equal(d.t, code, got, "%s\n%s", d.out.String(), d.errs.String())
	return d.out.String()
}

// file writes services into a file and returns its path.
func file(t *testing.T, list ...resource.Service) string {
	t.Helper()
	var b bytes.Buffer
	for _, s := range list {
		require.NoError(t, json.NewEncoder(&b).Encode(s))
	}
	path := filepath.Join(t.TempDir(), "services.json")
	require.NoError(t, os.WriteFile(path, b.Bytes(), 0o600))
	return path
}

// accept stores a status in which the stored version of a service is accepted and in force on adopted of 3 balancers.
func (d *harness) accept(name string, adopted int) {
	d.t.Helper()
	ctx := d.t.Context()
	o, err := d.store.Get(ctx, resource.KindService, name)
	require.NoError(d.t, err)
	s := resource.ServiceStatus{Name: name, ObservedVersion: o.Version, AcceptedVersion: o.Version, AcceptedRevision: 4, InForce: resource.InForce{Adopted: adopted, Known: 3}}
	s.SetCondition(resource.Condition{Type: resource.ConditionAccepted, Status: resource.StatusTrue})
	d.putStatus(s)
}

// putStatus creates or replaces a status.
func (d *harness) putStatus(s resource.ServiceStatus) {
	d.t.Helper()
	ctx := d.t.Context()
	if old, err := objectapi.GetTyped[resource.ServiceStatus](ctx, d.store, resource.KindServiceStatus, s.Name); err == nil {
		old.Value = s
		_, err = objectapi.UpdateTyped(ctx, d.store, old)
		require.NoError(d.t, err)
		return
	}
	_, err := objectapi.CreateTyped(ctx, d.store, resource.KindServiceStatus, s.Name, s)
	require.NoError(d.t, err)
}

func TestUsageMistakes(t *testing.T) {
	d := newHarness(t)
	for _, args := range [][]string{
		{}, {"nonsense"}, {"--nope"}, {"validate"}, {"validate", "/nonexistent"}, {"apply"}, {"delete"}, {"get", "nonsense"},
		{"apply", "--retries", "-1", "x"}, {"delete", "--version-is", "1", "a", "b"}, {"watch", "service", "a", "b"},
		{"explain", "x"}, {"explain", "--caller", "x"}, {"explain", "--from", "noon"}, {"explain", "--to", "noon"},
		{"explain", "--since", "0s"}, {"explain", "--since", "9999h"}, {"explain", "--from", "2030-01-01T00:00:00Z"},
		{"--server", "api", "get"}, {"--server", "", "get"},
	} {
		d.run(ExitUsage, args...)
		require.NotEmpty(t, d.errs.String(), args)
	}
	require.Contains(t, d.run(ExitOK, "--help"), "explain")
	require.Contains(t, d.run(ExitOK, "apply", "--help"), "--dry-run")
	require.Contains(t, d.run(ExitOK, "--version"), "auburnwoodctl ")
}

func TestValidate(t *testing.T) {
	d := newHarness(t)
	require.Contains(t, d.run(ExitOK, "validate", file(t, service("a", "10.0.0.1", 1))), "valid")
	d.stdin = `{"name":"a","spec":{}} {"name":"a","spce":{}} {"name":`
	out := d.run(ExitUsage, "validate", "-")
	require.Contains(t, out, "spec.addresses: at least one address is required")
	require.Contains(t, out, "spce: is not a known field")
	require.Contains(t, out, `name: "a" is also the name in standard input, document 1`)
	require.Contains(t, out, "not JSON")
	require.Contains(t, d.errs.String(), "3 of 3 documents have mistakes")
	d.stdin = ""
	require.Contains(t, d.run(ExitUsage, "validate", "-"), "holds no document")
	out = d.run(ExitUsage, "validate", "-o", "json", file(t, service("a", "10.0.0.1", 1), service("b", "10.0.0.1", 1)))
	var list []Document
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.Empty(t, list[0].Errors)
	require.Contains(t, list[1].Errors[0].Reason, `belongs to service "a"`)
}

func TestApplyGetDelete(t *testing.T) {
	d := newHarness(t)
	path := file(t, service("a", "10.0.0.1", 1), service("b", "10.0.0.2", 1))
	require.Contains(t, d.run(ExitOK, "apply", "--dry-run", path), "created (dry run)")
	require.Zero(t, storedLimit(t, d.store, "a"))
	require.Contains(t, d.run(ExitOK, "apply", path), "created")
	require.Contains(t, d.run(ExitOK, "apply", path), "unchanged")
	require.Contains(t, d.run(ExitOK, "get"), "pending")
	d.accept("a", 2)
	d.accept("b", 3)
	out := d.run(ExitOK, "get", "service", "a")
	require.Contains(t, out, "yes, revision 4")
	require.Contains(t, out, "2 of 3")
	var rows []ServiceRow
	require.NoError(t, json.Unmarshal([]byte(d.run(ExitOK, "-o", "json", "get")), &rows))
	require.Len(t, rows, 2)
	require.Equal(t, resource.InForce{Adopted: 3, Known: 3}, rows[1].Status.InForce)
	require.Contains(t, d.run(ExitOK, "get", "service-status"), "service-status  a")
	// An address of another service and an invalid document are each rejected before anything is written.
	out = d.run(ExitUsage, "apply", file(t, service("c", "10.0.0.9", 1), service("d", "10.0.0.1", 1)))
	require.Contains(t, out, `spec.addresses[0]: 10.0.0.1:80/tcp belongs to service "a"`)
	d.run(ExitUsage, "apply", file(t, service("c", "10.0.0.9", 1), service("D", "10.0.0.8", 1)))
	d.run(ExitFailure, "get", "service", "c")
	// An address can move from one service to another within one input.
	d.run(ExitOK, "apply", file(t, service("a", "10.0.0.7", 1), service("d", "10.0.0.1", 1)))
	d.run(ExitConflict, "delete", "--version-is", "1", "b")
	require.Contains(t, d.run(ExitOK, "delete", "b"), "deleted")
	d.run(ExitFailure, "delete", "b")
	d.store.SetFaults(store.Faults{Outage: true})
	d.run(ExitFailure, "apply", path)
	require.Contains(t, d.errs.String(), "unavailable")
	d.run(ExitFailure, "get")
}

func TestApplyWaits(t *testing.T) {
	d := newHarness(t)
	path := file(t, service("a", "10.0.0.1", 1))
	d.run(ExitOK, "apply", path)
	d.accept("a", 2)
	d.run(ExitFailure, "apply", "--wait", "500ms", path)
	require.Contains(t, d.errs.String(), "a is stored, but was not in force on every balancer in time: in force on 2 of 3")
	d.accept("a", 3)
	d.run(ExitOK, "apply", "--wait", "1m", path)
	require.Contains(t, d.errs.String(), "in force on every balancer")
	s := resource.ServiceStatus{Name: "a", ObservedVersion: 1000}
	s.SetCondition(resource.Condition{Type: resource.ConditionAccepted, Status: resource.StatusFalse, Reason: resource.ReasonAddressConflict, Message: "taken"})
	d.putStatus(s)
	d.run(ExitFailure, "apply", "--wait", "1m", path)
	require.Contains(t, d.errs.String(), "a is not accepted: AddressConflict: taken")
	require.Contains(t, d.run(ExitOK, "get"), "no, AddressConflict")
}

func TestWaitIgnoresTheStatusOfAnEarlierVersion(t *testing.T) {
	d := newHarness(t)
	d.run(ExitOK, "apply", file(t, service("a", "10.0.0.1", 1)))
	d.accept("a", 3)
	changed := file(t, service("a", "10.0.0.1", 2))
	d.run(ExitFailure, "apply", "--wait", "50ms", changed)
	require.Contains(t, d.errs.String(), "no status yet")
	// A rejection of an earlier version does not apply to the new one.
	s := resource.ServiceStatus{Name: "a", ObservedVersion: 1}
	s.SetCondition(resource.Condition{Type: resource.ConditionAccepted, Status: resource.StatusFalse, Reason: resource.ReasonInvalid})
	d.putStatus(s)
	d.run(ExitFailure, "apply", "--wait", "50ms", changed)
	require.Contains(t, d.errs.String(), "no status yet")
	// The version was observed, but an older one is in force.
	d.putStatus(resource.ServiceStatus{Name: "a", ObservedVersion: 1000, AcceptedVersion: 1, InForce: resource.InForce{Adopted: 3, Known: 3}})
	d.run(ExitFailure, "apply", "--wait", "50ms", changed)
}

func TestWatch(t *testing.T) {
	d := newHarness(t)
	d.run(ExitOK, "apply", file(t, service("a", "10.0.0.1", 1), service("b", "10.0.0.2", 1)))
	require.Equal(t, 2, strings.Count(d.run(ExitOK, "watch", "--count", "2"), "pending"))
	require.Contains(t, d.run(ExitOK, "watch", "--count", "1", "service", "b"), "put  b")
	var line watchLine
	require.NoError(t, json.Unmarshal([]byte(d.run(ExitOK, "-o", "json", "watch", "--count", "1", "service", "a")), &line))
	require.Equal(t, objectapi.EventPut, line.Type)
	d.accept("a", 1)
	require.Contains(t, d.run(ExitOK, "watch", "--count", "1", "service-status"), "put  a")
}

func TestExplain(t *testing.T) {
	d := newHarness(t)
	require.Contains(t, d.run(ExitOK, "explain", "--caller", "::ffff:192.0.2.7"), "no refusals found")
	require.Equal(t, netip.MustParsePrefix("192.0.2.7/32"), d.query.Caller)
	require.Equal(t, d.now, d.query.To)
	require.Equal(t, d.now.Add(-time.Hour), d.query.From)
	d.answer = refusal.QueryResult{Refusals: 3, Records: []refusal.Record{
		{Time: d.now, Count: 1, Caller: netip.MustParseAddrPort("192.0.2.7:999"), Reason: refusal.ReasonNoTarget, Run: refusal.RunNo, Detail: "none is active"},
		{Time: d.now, Last: d.now.Add(time.Second), Count: 2, Callers: netip.MustParsePrefix("192.0.2.0/24"), Service: "a", Reason: refusal.ReasonAllFull},
	}}
	out := d.run(ExitOK, "explain", "--service", "a", "--reason", "no-target", "--id", "x", "--from", "2026-12-01T00:00:00Z", "--to", "2026-12-02T00:00:00Z")
	require.Equal(t, refusal.Query{Service: "a", Reason: refusal.ReasonNoTarget, ID: "x", From: d.now.Add(-36 * time.Hour), To: d.now.Add(-12 * time.Hour)}, d.query)
	require.Contains(t, out, "none is active")
	require.Contains(t, out, "192.0.2.0/24")
	require.Contains(t, out, "3 refusals in 2 records")
	d.answer.Unreadable = []error{os.ErrInvalid}
	d.run(ExitFailure, "-o", "json", "explain")
	require.Contains(t, d.errs.String(), "records may be missing")
}
