package agentd

// Limits on the claims that agents write to the object API.
const (
	// FleetClaims is the rate of all agents together, in claims per second: half of the 300 writes per second that are
	// planned for the object API, which takes several hundred. The other half is left to leases, configuration, members,
	// refusal records and the deletion of old claims.
	FleetClaims = 150
	// ClaimBurst is the number of claims that an agent may write at once; unused ones accumulate at the agent's rate. In
	// the worst case 3,300 agents that were all idle, or have all just started, send 16,500 claims at one moment and
	// FleetClaims per second from then on. Requests whose claims the object API rejects are refused as not run.
	ClaimBurst = 5
	// maxFleetAgents is the largest number of agents that the system is designed for.
	maxFleetAgents = 3300
)

// claimRate returns an agent's share of FleetClaims, in claims per second, at most limit. When the number of agents is
// unknown (0), it assumes the largest fleet, so that the fleet's total stays within FleetClaims.
func claimRate(limit float64, agents uint32) float64 {
	if agents == 0 {
		agents = maxFleetAgents
	}
	return min(limit, FleetClaims/float64(agents))
}
