package flows

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// TestViewsArriveUnevenlyButInOrder checks that processes receive views at different times, but never an older one after
// a newer one.
func TestViewsArriveUnevenlyButInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDistributor(1, 3*time.Second)
		var mu sync.Mutex
		seen := map[int][]uint64{}
		uneven := false
		for i := range 5 {
			d.add(targetID("p", i), func(v *view.View) {
				mu.Lock()
				defer mu.Unlock()
				seen[i] = append(seen[i], v.Revision)
			})
		}
		for n := uint64(1); n <= 20; n++ {
			d.publish(&view.View{Revision: n})
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			for i := range 5 {
				uneven = uneven || len(seen[i]) != len(seen[0])
			}
			mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.True(t, uneven)
		for i := range 5 {
			require.IsIncreasing(t, seen[i])
			require.EqualValues(t, 20, seen[i][len(seen[i])-1])
		}
	})
}
