// Package ticket keeps the truth about work that may run at most once.
//
// An agent issues tickets and keeps them in a Book in its memory. A ticket is good only there: the book of another
// incarnation never runs it. The package does no input or output and reads no clock.
package ticket
