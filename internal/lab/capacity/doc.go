// Package capacity measures the cost of each component at several sizes on this machine and extrapolates it to the size
// to design for.
package capacity
