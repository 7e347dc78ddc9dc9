package revision

import "github.com/auburnwood/auburnwood/pkg/resource"

// cachedAcks caches the counts of an Acks by revision during one pass over the statuses.
type cachedAcks struct {
	acks   Acks
	counts map[uint64]resource.InForce
}

func newCachedAcks(a Acks) *cachedAcks {
	return &cachedAcks{acks: a, counts: make(map[uint64]resource.InForce)}
}

// InForce implements Acks.
func (c *cachedAcks) InForce(revision uint64) resource.InForce {
	f, ok := c.counts[revision]
	if !ok {
		f = c.acks.InForce(revision)
		c.counts[revision] = f
	}
	return f
}
