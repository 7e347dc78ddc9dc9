// Package revision compiles the services that operators configure into numbered revisions and brings each balancer to
// the highest accepted revision.
//
// Compile is a pure function of the previous revision and the stored objects. Compiler runs it as a duty under a lease:
// it stores the revision under a name derived from its content, and then advances the head by a fenced, conditional
// update. A revision is accepted once the head names it. Adopter holds the highest revision of one balancer and adopts
// only higher ones; Follower offers it revisions from the head and from peers.
package revision
