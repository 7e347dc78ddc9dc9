// Package membership holds the records of agents and balancers, detects which of them have failed, and writes them to
// the object API in groups. Apart from the group functions it does no I/O and reads no clock.
package membership
