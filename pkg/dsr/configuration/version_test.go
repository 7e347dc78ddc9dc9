package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVersionsOfConfigurations(t *testing.T) {
	for _, c := range []struct {
		name   string
		label  string
		object uint64
		older  bool
		shown  uint64
		number bool
	}{
		{"the object's version where it orders configurations", "18", 21, false, 21, false},
		{"the operator's number where objects' versions do not", "18", 21, true, 18, true},
		{"a label that is no number", "v18", 21, true, 21, false},
		{"no label", "", 21, true, 21, false},
		{"a number that is too large", "4611686018427387904", 21, true, 21, false},
		{"a negative number", "-1", 21, true, 21, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := VersionOf(c.label, c.object, c.older)
			require.Equal(t, c.shown, DisplayVersion(v))
			require.Equal(t, c.number, IsNumbered(v))
		})
	}
	require.Greater(t, VersionOf("0", 1, true), VersionOf("", 1<<62-1, true), "a number is above all versions of objects")
}
