// Package control runs the control plane of an installation on loopback: real balancers, control sessions in place of
// agents, operators that change services, and faults of the store, the network and the processes. It checks the results
// that operators, balancers and callers received against the content of the store.
package control
