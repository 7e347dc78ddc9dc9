// Package rollout decides when the targets of a new version take a larger share of a service's new flows, and when the
// new version is rolled back.
package rollout
