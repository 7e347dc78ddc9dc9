package agentd

// Numbers of the claims that the agents make.
const (
	// FleetClaims is the rate of all agents together, in claims a second: half of the several hundred writes a second
	// that the object API takes, 300 being planned with. The other half is left to leases, configuration, members, refusal
	// records and the deletion of old claims.
	FleetClaims = 150
	// ClaimBurst is the number of claims that an agent may make at once. An agent saves them up at its own rate, so that
	// in the worst case 3,300 agents that were all idle, or have all just started, ask for 16,500 claims at one moment,
	// and for FleetClaims a second from then on. What the object API doesn't take of that is refused as not run.
	ClaimBurst = 5
	// mostAgents is the number of agents to design for.
	mostAgents = 3300
)

// claimRate returns an agent's part of the fleet's claims, in claims a second, at most limit. An unknown number of agents,
// 0, is taken for the largest fleet, so that the sum holds whatever it is.
func claimRate(limit float64, agents uint32) float64 {
	if agents == 0 {
		agents = mostAgents
	}
	return min(limit, FleetClaims/float64(agents))
}
