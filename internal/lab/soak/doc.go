// Package soak runs the real programs of pass-through services as separate processes and injects faults from outside them:
// signals (stop, kill, pause, hang up), restarts, and connections to the object API that are refused, slow, silent, reset or
// cut one way by a proxy. Meanwhile it checks, from what callers and targets see, what the daemons promise.
//
// The faults of a run follow from its seed. The timing of real processes does not, so that a seed that failed may pass the
// next time: a failed run keeps its logs.
package soak
