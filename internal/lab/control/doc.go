// Package control runs the control side of an installation on loopback: real balancers, control sessions in place of
// agents, operators that change services and faults of the store, the network and the processes. It compares what
// operators, balancers and callers were told with what the store holds.
package control
