// Package ctl implements auburnwoodctl: it validates, applies, shows, watches and deletes services through the object
// API, evacuates data centres, and explains refusals.
package ctl
