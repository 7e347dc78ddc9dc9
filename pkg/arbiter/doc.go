// Package arbiter decides, at one agent, where each packet of a service goes: to the agent itself, to the flow's owner, to another agent of the row, or nowhere.
//
// The first agent of a row is the only arbiter of a new flow. It takes the flow, or offers it to another agent of the row, and remembers the owner. What it remembers is soft state: the owners know the truth about their flows, announce them to a new first agent, and answer when they are asked.
//
// The package does no input or output, starts no goroutine and reads no clock. Lock order: Arbiter.mu, then one flow shard, then the locks of the locator, of the ended flows, of the waiting messages or of the peers; of these at most one is held.
package arbiter
