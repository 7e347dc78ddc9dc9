package arbiter

// Counts are numbers of an arbiter's state.
type Counts struct {
	// Load is the number of open flows that this agent owns.
	Load int
	// Redirects is the number of flows known to be owned by another agent.
	Redirects int
	// Pending is the number of opening flows that are not placed yet.
	Pending int
	// Ended is the number of remembered ended flows.
	Ended int
	// Locating is the number of flows whose owner is being asked for.
	Locating int
	// Lost is the number of flows that no agent owns.
	Lost int
	// Peers is the number of known incarnations of other agents.
	Peers int
	// Announcing is the number of announcements that wait to be sent.
	Announcing int
}

// Snapshot returns counts of the state. It looks through all flows; call it for status, not for each packet.
func (a *Arbiter) Snapshot() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Counts{Load: int(a.load.Load()), Peers: len(*a.peers.list.Load()), Announcing: len(a.announce)}
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
	case stateAsked, stateOffered, stateBeyond:
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
