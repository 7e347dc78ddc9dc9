// Package flow identifies flows by their five-tuple and hashes them identically in every process.
package flow
