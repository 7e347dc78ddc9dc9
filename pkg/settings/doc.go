// Package settings reads the static settings of the daemons from TOML files.
//
// Decoding is strict: an unknown key is a mistake. The Load functions report every mistake of a file at once, each with
// its key and the reason.
package settings
