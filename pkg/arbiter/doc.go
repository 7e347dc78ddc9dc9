// Package arbiter decides, at one agent, where each packet of a service goes: to the agent itself, to the flow's owner,
// to another agent of the row, or nowhere.
//
// The first agent of a row is the only arbiter of a new flow. It accepts the flow, or offers it to another agent of the
// row, and records the owner. This record is soft state: the owners are authoritative for their flows, notify a new
// first agent of them, and answer when they are asked.
//
// The package does no I/O, starts no goroutine and reads no clock. Lock order: Arbiter.mu, then one flow shard, then
// the locks of the locator, the ended flows, the outbox or the peers; of these at most one is held.
package arbiter
