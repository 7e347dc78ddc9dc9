// Package cluster runs the daemons of a whole installation in one process on loopback, with stand-ins for the object API
// and the targets.
package cluster
