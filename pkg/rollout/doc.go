// Package rollout decides when the targets of a new version take a larger part of a service's new flows, and when the
// new version is given up.
package rollout
