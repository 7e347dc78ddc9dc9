// Package overload decides which new flows of a service are refused while more is asked of its targets than they can do.
//
// It does no I/O and reads no clock. It is made for demand that stays above the capacity of all targets of a service
// together: without a decision for the service as a whole, requests of every priority wait until their callers give up.
// Each balancer decides by itself, from what the agents report and from the flows that it is asked for; requests on open
// flows are not refused but count as demand.
package overload
