// Package capacity measures what each part costs by its size on this machine, and works out the cost at the size to
// design for.
package capacity
