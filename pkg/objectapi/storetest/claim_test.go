package storetest_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// TestClaims lets four claimants race to create each of many names under lost responses. Exactly the one whose token is
// stored may win; since no claim is replaced, every other must get an error that says that it lost.
func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const claimants, names = 4, 200
		mem := store.New(store.Config{Seed: 3})
		mem.SetFaults(store.Faults{Jitter: 30 * time.Millisecond, LoseShare: 0.3, DropShare: 0.3})
		var mu sync.Mutex
		winners := make(map[string][]string)
		lost := 0
		var wg sync.WaitGroup
		for c := range claimants {
			wg.Go(func() {
				for n := range names {
					name, token := fmt.Sprint(n), fmt.Sprintf("claimant-%d;", c)
					_, err := objectapi.CreateResolved(t.Context(), mem, linearKind, name, []byte(token), token)
					mu.Lock()
					switch {
					case err == nil:
						winners[name] = append(winners[name], token)
					case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrSuperseded):
						lost++
					default:
						t.Errorf("claim %s of %s: %v", name, token, err)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		mem.SetFaults(store.Faults{})
		require.Equal(t, names*(claimants-1), lost)
		for name, tokens := range winners {
			o, err := mem.Get(t.Context(), linearKind, name)
			require.NoError(t, err)
			require.Equal(t, []string{string(o.Value)}, tokens)
		}
		require.Len(t, winners, names)
	})
}
