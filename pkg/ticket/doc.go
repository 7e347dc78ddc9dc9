// Package ticket records the state of work that may run at most once.
//
// An agent issues tickets and keeps them in a Book in memory. A ticket is valid only there: the book of another
// incarnation never runs it. The package does no I/O and reads no clock.
package ticket
