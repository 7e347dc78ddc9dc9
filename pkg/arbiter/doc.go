// Package arbiter decides, at one agent, where each packet of a service goes: to the agent itself, to the flow's owner, to another agent of the row, or nowhere.
//
// It does no input or output, starts no goroutine and reads no clock. The lock order is: service state, then one flow shard.
package arbiter
