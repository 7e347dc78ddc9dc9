// Package ownership decides, at the agent of one target of a pass-through service, what happens to each packet: which
// new flows are offered to the target, which packets belong to flows that it holds, and what is reported to the
// balancers.
//
// It does no input or output, starts no goroutine and reads no clock. It limits the load of one target: a new flow is
// accepted only when a slot is free or the wait in the target's queue is short, so that the target can still answer
// in time. Every other flow is returned to the balancer, which asks other targets.
//
// Where callers send several requests on a flow, these wait in one order with new flows while the target has more than
// it can finish in the promised time. It answers bursts in which urgent and less urgent requests compete for its slots.
package ownership
