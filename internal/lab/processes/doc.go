// Package processes supports an installation whose daemons run as separate processes: it writes their settings and serves
// the stand-ins for the object API, the fabric with its callers, and the targets.
package processes
