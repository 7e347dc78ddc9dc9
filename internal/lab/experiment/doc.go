// Package experiment reads experiment files, which list runs of the lab's commands with their options, executes them and
// prints their measurements.
package experiment
