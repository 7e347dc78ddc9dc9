package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// waiterAfter returns a waiter for version 45 of era 1 that has observed a status of the given era and version.
func waiterAfter(t *testing.T, era, observed uint64) *waiter {
	v := store.Version(era, observed)
	status := resource.ServiceStatus{ObservedVersion: v, AcceptedVersion: v, InForce: resource.InForce{Adopted: 3, Known: 3}}
	o, err := objectapi.Encode(objectapi.Typed[resource.ServiceStatus]{Kind: resource.KindServiceStatus, Name: "a", Value: status})
	require.NoError(t, err)
	w := &waiter{want: map[string]uint64{"a": store.Version(1, 45)}, last: map[string]string{"a": "no status yet"}}
	w.observe(objectapi.Event{Type: objectapi.EventPut, Object: o})
	return w
}

func TestServiceLostInARestoreIsNotReportedInForce(t *testing.T) {
	require.NoError(t, waiterAfter(t, 1, 45).err())
	require.NoError(t, waiterAfter(t, 1, 46).err())
	require.ErrorContains(t, waiterAfter(t, 1, 44).err(), "was not in force on every balancer in time")
	require.ErrorContains(t, waiterAfter(t, 2, 30).err(), "came back from an older copy")
	require.ErrorContains(t, waiterAfter(t, 2, 50).err(), "came back from an older copy")
}
