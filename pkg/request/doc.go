// Package request terminates callers' HTTP connections at an agent and proxies each request to the agent's target.
//
// The server admits requests by the decisions of package limit, runs the work of a ticket or claim at most once by
// the states of package ticket, and responds with a problem document to every request that it does not run. The lock
// order is: inflightTable, then ticketBook; every other lock is held alone, and none is held during I/O.
package request
