package revision

// Acks counts the balancers that have a revision in force.
type Acks interface {
	// InForce returns how many of the m known balancers have adopted the revision or a higher one.
	InForce(revision uint64) (n, m int)
}
