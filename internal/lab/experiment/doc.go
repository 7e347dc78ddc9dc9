// Package experiment reads experiment files, which list runs of the lab's commands with their options, and prints what
// the runs measured.
package experiment
