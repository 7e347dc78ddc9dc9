// Package dispatch decides, on a balancer of pass-through services, which target each new flow is offered to, which
// agent each packet of an open flow is sent to, and when a flow is refused.
//
// It does no I/O, starts no goroutine and reads no clock. A balancer sees only a part of each target's flows: its view
// of a target's load is a hint, and the agent beside the target decides. A new flow is offered to a free slot in the
// balancer's data centre, else to a free slot elsewhere, else to the target with the earliest estimated completion
// among a few sampled ones; when every queue is too long, it is refused at once.
//
// Where targets differ in pace, their loads are weighed by it. Where flows carry several requests, a flow's target is
// drawn by slots, pace and open flows, for days on which the callers' demand moves between data centres and a flow binds
// many requests to the target that it is given.
package dispatch
