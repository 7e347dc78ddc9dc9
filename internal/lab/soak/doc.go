// Package soak runs the real programs of pass-through services as separate processes and injects faults from outside:
// signals (SIGTERM, SIGKILL, SIGSTOP, SIGHUP), restarts, and connections to the object API that a proxy refuses,
// resets, delays, or drops in one or both directions. From the view of callers and targets it checks what the daemons
// guarantee.
//
// The seed determines the faults of a run, but not the timing of the processes: a seed that failed may pass the next
// time. The logs are therefore kept in Options.Dir.
package soak
