// Package settings reads the static settings of the daemons from TOML files.
//
// A file is read strictly: an unknown key is a mistake. Load reports every mistake of a file at once, each with its key
// and the reason.
package settings
