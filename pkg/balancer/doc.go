// Package balancer receives raw IP packets from the fabric and forwards each, with its row, to an agent.
//
// Routing needs no state per flow: the row follows from the view and the flow's hash. The learned-owner cache only
// saves hops. Lock order: none of the locks (cache shards, suspects, view) is held while another is taken.
package balancer
