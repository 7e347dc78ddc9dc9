// Package fabric stands in for the platform's network fabric: it sprays the packets of its callers over the balancers by
// UDP on loopback, and delivers the packets that agents send back to their caller.
//
// It can lose, duplicate and delay packets, and applies changes of the set of balancers only after a configured time.
package fabric
