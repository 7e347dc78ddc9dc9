// Package fabric stands in for the platform's network fabric: it sprays each packet of its callers over the balancers by
// UDP on loopback, and brings the packets that agents send back to the right caller.
//
// It can lose, duplicate and delay packets, and it learns of a change of the balancers only after a set time.
package fabric
