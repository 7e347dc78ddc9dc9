// Package peer carries control calls between the system's processes over gRPC: announcements, heartbeats, views of a
// service, the exchange of member records and revisions among balancers, votes and the safekeeping of refusal records.
//
// A balancer runs a Node, an agent runs a Session. Both take their decisions from package membership.
package peer
