// Package recording chooses which balancers write the refusal records of all to the object API. It answers a fleet in which
// every balancer refuses now and then: if each wrote its own batches, the writes would grow with the number of balancers.
package recording
