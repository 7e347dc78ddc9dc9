// Package request ends the callers' HTTP at an agent and passes each request to the agent's target.
//
// The server admits a request by the decisions of package limit, runs the work of a ticket or claim at most once by
// the states of package ticket, and answers everything that it does not run with a problem document. The lock
// order is: open submissions, then ticket book; every other lock is held alone, and none during input or output.
package request
