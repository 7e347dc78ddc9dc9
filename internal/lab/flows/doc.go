// Package flows runs real TCP flows through balancers and agents while balancers, targets and the store change, and
// checks that every byte arrives, from the right service.
package flows
