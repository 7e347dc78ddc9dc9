// Package processes prepares and accompanies an installation whose daemons run as processes of their own: it writes their
// settings and serves the stand-ins (object API, fabric with callers, targets) that they talk to.
package processes
