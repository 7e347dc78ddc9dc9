package arbiter

// Counts summarizes an arbiter's state.
type Counts struct {
	// Load is the number of open flows that this agent owns.
	Load int
	// Redirects is the number of flows that are redirected to another agent.
	Redirects int
	// Pending is the number of opening flows that are not placed yet.
	Pending int
	// Ended is the number of ended flows that are still kept.
	Ended int
	// Locating is the number of flows whose owner is being located.
	Locating int
	// Lost is the number of flows that no agent owns.
	Lost int
	// Peers is the number of known incarnations of other agents.
	Peers int
	// QueuedMoved is the number of KIND_MOVED messages that are not sent yet.
	QueuedMoved int
}

// Snapshot returns counts of the state. It iterates over all flows: call it for status, not per packet.
func (a *Arbiter) Snapshot() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Counts{Load: int(a.load.Load()), Peers: len(*a.peers.list.Load()), QueuedMoved: len(a.movedQueue)}
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, e := range s.flows {
			c.count(e)
		}
		s.mu.Unlock()
	}
	return c
}

func (c *Counts) count(e entry) {
	switch e.state {
	case stateRedirect:
		c.Redirects++
	case stateAsked, stateOffered, stateOfferedOutside:
		c.Pending++
	case stateEnded:
		c.Ended++
	case stateLocating:
		c.Locating++
	case stateLost:
		c.Lost++
	}
}

// Load returns the number of open flows that this agent owns.
func (a *Arbiter) Load() int { return int(a.load.Load()) }
