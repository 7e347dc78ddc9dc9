// Package policy plays the decision packages of pass-through services alone, in virtual time: callers, balancers, agents and
// targets exchange the daemons' real messages, but no socket, goroutine or clock is used, so that a run of a minute takes seconds
// and repeats exactly for a seed. It compares policies by what callers get under loads and losses of its own.
package policy
