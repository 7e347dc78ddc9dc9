// Package agent runs beside a target: it ends the callers' flows and carries their bytes to the target.
//
// Packets come in datagrams of pkg/wire; pkg/arbiter decides about each one. The agent checks that a packet belongs to
// the service that its target announced before it asks the arbiter. The lock order is: registry shard, then one flow;
// no lock is held while the arbiter is called or a packet is sent.
package agent
