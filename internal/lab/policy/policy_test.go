package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func play(t *testing.T, change func(*Options)) *Result {
	o := defaults()
	o.Seed = 1
	change(&o)
	r, err := Run(o)
	require.NoError(t, err)
	t.Log(r)
	return r
}

func TestACalmRunServesEverybodyInTime(t *testing.T) {
	r := play(t, func(*Options) {})
	require.Zero(t, r.Lost)
	require.Greater(t, r.Worth(), 0.99)
	require.Zero(t, r.Twice)
}

func TestPowerLoss(t *testing.T) {
	play(t, func(o *Options) {
		o.Faults = []Fault{{Kind: PowerLoss, At: 3 * time.Second, For: 1400 * time.Millisecond}}
	})
}

func saog(o *Options) {
	o.Balancers, o.Targets, o.Work, o.Load, o.Aim, o.Budget = 17, 38, 32*time.Millisecond, 0.71, 260*time.Millisecond, 3*time.Second
	o.Length, o.Near, o.Far, o.Caller = 16*time.Second, 200*time.Microsecond, 500*time.Microsecond, time.Millisecond
	o.Faults = []Fault{{Kind: PowerLoss, At: 3 * time.Second, For: 1400 * time.Millisecond}}
}

func TestSaog(t *testing.T) {
	r := play(t, saog)
	for i, c := range r.Windows {
		t.Log(i*2, c, c.Worth())
	}
}

func TestSaogOff(t *testing.T) {
	for _, m := range policyMechanisms() {
		t.Log(m.Name)
		play(t, func(o *Options) { saog(o); o.Without = m.Off })
	}
}
