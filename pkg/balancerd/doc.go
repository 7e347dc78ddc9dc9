// Package balancerd assembles the balancer daemon: packet path, membership, configuration, duties and refusal records.
package balancerd
