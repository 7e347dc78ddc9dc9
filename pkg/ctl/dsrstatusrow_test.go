package ctl

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// storeDSRStatus stores the status of a pass-through service.
func (d *harness) storeDSRStatus(name string, s resource.DSRServiceStatus) {
	o, err := objectapi.Encode(objectapi.Typed[resource.DSRServiceStatus]{Kind: resource.KindDSRServiceStatus, Name: name, Value: s})
	require.NoError(d.t, err)
	_, err = d.store.Create(d.t.Context(), o.Kind, o.Name, o.Value)
	require.NoError(d.t, err)
}

func saturatedStatus() resource.DSRServiceStatus {
	return resource.DSRServiceStatus{
		State: resource.DSRSaturated, SaturatedSince: time.Date(2026, 12, 3, 7, 1, 2, 0, time.UTC), RefusedPriorities: []int{2, 3},
		CapacityPerSecond: 1200, Demands: []resource.DSRPriorityDemand{{Priority: 0, PerSecond: 700}, {Priority: 2, PerSecond: 900}},
		TargetsReady: 14, TargetsAtConnectionLimit: 1, FastestWorkMs: 8, SlowestWorkMs: 31, Writer: "frontend-1",
		Written: time.Date(2026, 12, 3, 7, 1, 4, 0, time.UTC),
	}
}

func TestGetShowsTheStateOfPassThroughServices(t *testing.T) {
	d := newHarness(t)
	d.storeDSRStatus("busy", saturatedStatus())
	d.storeDSRStatus("past", resource.DSRServiceStatus{State: resource.DSREnded, SaturatedSince: time.Unix(0, 0), Ended: time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC), Writer: "frontend-2"})
	_, err := d.store.Create(t.Context(), resource.KindDSRServiceStatus, "strange", []byte("{"))
	require.NoError(t, err)
	out := d.run(ExitOK, "get", "dsr-service-status")
	require.Regexp(t, `busy +saturated +2026-12-03T07:01:02Z +2,3 +1200/s +0:700/s 2:900/s +14 +1 +8 to 31 ms +frontend-1 at 2026-12-03T07:01:04Z`, out)
	require.Regexp(t, `past +ended +2026-12-03T08:00:00Z +- +- +- +0 +0 +- +frontend-2`, out)
	require.Regexp(t, `strange +unreadable`, out)
	out = d.run(ExitOK, "get", "dsr-service-status", "past")
	require.NotContains(t, out, "busy")
}

func TestTheStateOfPassThroughServicesIsJSONLikeOtherKinds(t *testing.T) {
	d := newHarness(t)
	d.storeDSRStatus("busy", saturatedStatus())
	var list []struct {
		Name  string
		Value resource.DSRServiceStatus
	}
	require.NoError(t, json.Unmarshal([]byte(d.run(ExitOK, "-o", "json", "get", "dsr-service-status")), &list))
	require.Len(t, list, 1)
	require.Equal(t, "busy", list[0].Name)
	require.Equal(t, saturatedStatus(), list[0].Value)
}

func TestWatchShowsTheStateOfPassThroughServices(t *testing.T) {
	d := newHarness(t)
	d.storeDSRStatus("busy", saturatedStatus())
	require.Regexp(t, `put +busy +saturated +2026-12-03T07:01:02Z +2,3`, d.run(ExitOK, "watch", "--count", "1", "dsr-service-status", "busy"))
}
