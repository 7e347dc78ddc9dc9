package revision

// Acks counts the balancers that have adopted a revision.
type Acks interface {
	// InForce returns the number n of the m known balancers that have adopted the revision or a higher one.
	InForce(revision uint64) (n, m int)
}
