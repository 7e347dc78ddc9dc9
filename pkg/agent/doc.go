// Package agent runs beside a target: it terminates the callers' flows and proxies their bytes to the target.
//
// Packets arrive in datagrams of pkg/wire; pkg/arbiter decides what to do with each. Before it asks the arbiter, the
// agent checks that a packet belongs to the service that its target announced. The lock order is: registry shard, then
// one flow; no lock is held while the arbiter is called or a packet is sent.
package agent
