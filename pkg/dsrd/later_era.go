package dsrd

import (
	"context"
	"sync"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// laterEra tells when the object API is in a later era, by its answers or by what other balancers say. Their word only causes a call: whether it is
// so, the answer says.
type laterEra struct {
	eras *objectapi.Eras
	wake chan struct{}

	mu sync.Mutex
	// named is the newest era that another balancer has named.
	named uint64
}

func newLaterEra(eras *objectapi.Eras) *laterEra {
	return &laterEra{eras: eras, wake: make(chan struct{}, 1)}
}

// heard takes an era that another balancer names.
func (l *laterEra) heard(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era <= l.named {
		return
	}
	l.named = era
	signal(l.wake)
}

// await returns when an era after the given one is known or was named since the last call, or with the context's error.
func (l *laterEra) await(ctx context.Context, era uint64) error {
	for {
		newest, changed := l.eras.Changed()
		if newest > era {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-l.wake:
			if l.newestNamed() > era {
				return nil
			}
		}
	}
}

func (l *laterEra) newestNamed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named
}
