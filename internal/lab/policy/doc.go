// Package policy simulates the decision packages of pass-through services in virtual time: callers, balancers, agents
// and targets exchange the daemons' real messages without sockets, goroutines or a real clock. A simulated minute takes
// seconds and is deterministic for a seed. It compares policies by how requests end under simulated load and faults.
package policy
