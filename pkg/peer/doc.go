// Package peer implements the control calls between agents and balancers over gRPC: announcements, heartbeats, watches
// of a service, the exchange of member records and revisions among balancers, votes and the mirroring of refusal
// records.
//
// A balancer runs a Node, an agent runs a Session. Package membership decides which members are alive.
package peer
