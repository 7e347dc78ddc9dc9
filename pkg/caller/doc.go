// Package caller is a client of request services. It takes tickets ahead, repeats submissions only where that is safe,
// and reports for each request whether its work ran, did not run, or may have run.
package caller
