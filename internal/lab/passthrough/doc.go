// Package passthrough runs real balancers and agents of pass-through services on loopback, between stand-ins for callers and
// targets that use the packet format of dsrtest, and checks that flows survive while processes join, leave and fail.
package passthrough
