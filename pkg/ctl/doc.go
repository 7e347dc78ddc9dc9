// Package ctl is the library behind auburnwoodctl: it validates, applies, reads, watches and deletes services through
// the object API, and explains refusals.
package ctl
