package ctl

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

func FuzzReadDocuments(f *testing.F) {
	f.Add([]byte(`{"name":"a","spec":{}} {"name":"a"} [1,2] "x" null`))
	f.Add([]byte(`{"name":"a","spec":{"addresses":[{"ip":"10.0.0.1","port":80}],"mode":"stream","preference":"flows","limits":{}}}{`))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := ReadDocuments(bytes.NewReader(b), "x")
		require.NoError(t, err)
		markDuplicates(list)
		markConflicts(list)
		for _, d := range list {
			if len(d.Errors) == 0 {
				require.Empty(t, resource.ValidateService(d.Service))
			}
		}
	})
}
