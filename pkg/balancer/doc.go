// Package balancer receives raw IP packets from the fabric and sends each, with its row, to an agent.
//
// A balancer needs no state to route: the row follows from the view and the flow's hash. The learned-owner cache only
// saves hops. Lock order: none of the locks (one for each cache shard, one for the view) is held while taking another.
package balancer
