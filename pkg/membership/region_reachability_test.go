package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRegionReach(t *testing.T) {
	r := NewRegionReachability()
	at := func(s int) time.Time { return testTime.Add(time.Duration(s) * time.Second) }
	require.True(t, r.RecordResult("hcm", true, at(0)))
	require.True(t, r.RecordResult("hcm", false, at(1)))
	require.True(t, r.RecordResult("hcm", false, at(9)), "two failures aren't enough")
	require.False(t, r.RecordResult("hcm", false, at(10)))
	require.True(t, r.RecordResult("amman-east", false, at(10)), "regions are independent")
	require.True(t, r.RecordResult("hcm", true, at(11)))
	require.True(t, r.RecordResult("hcm", false, at(12)))
}
