package demo

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// answers counts the responses of each target.
type answers struct {
	mu     sync.Mutex
	counts map[string]int
}

func newAnswers() *answers { return &answers{counts: map[string]int{}} }

func (a *answers) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[id]++
}

// spread describes the lowest and highest count.
func (a *answers) spread() string {
	counts := slices.Sorted(maps.Values(a.counts))
	return fmt.Sprintf("%d to %d each", counts[0], counts[len(counts)-1])
}
