// Package caller is a client of request services. It obtains tickets in batches ahead of use, repeats submissions only
// where that is safe, and reports for each request whether its work ran, did not run, or may have run.
package caller
