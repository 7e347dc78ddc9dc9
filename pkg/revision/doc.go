// Package revision turns the services that operators write into numbered revisions and brings each balancer to the
// highest accepted one.
//
// Compile is a function of the previous revision and the stored services. Compiler runs it as a duty under a lease: it
// stores the revision under a name that belongs to its content, and then advances the head by a fenced, conditional
// update. A revision is accepted once the head names it. Adopter holds the highest revision of one balancer and takes
// only higher ones; Follower feeds it from the head and from peers.
package revision
