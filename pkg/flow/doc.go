// Package flow identifies flows by their five-tuple and hashes them the same way in every process.
package flow
