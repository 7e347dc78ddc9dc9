// Package membership keeps the records of agents and balancers, decides which of them are dead, and writes them to the
// object API in groups. Apart from the group functions it does no I/O and reads no clock.
package membership
