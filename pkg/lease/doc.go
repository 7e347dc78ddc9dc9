// Package lease assigns a duty to one process of the fleet at a time and fences the writes of former holders.
//
// A lease is one object of the object API. The holder renews it by conditional update. Another process takes it over
// when it has seen no change of the object's version for the lease's duration, measured on its own monotonic clock;
// clocks of two machines are never compared. The holder's validity starts before it sends the write and ends a safety
// margin before others may take over, so that terms do not overlap while clocks run at about the same rate. A holder
// that was paused may act on an expired lease; Fenced, not the clock, protects the duty's objects from its writes.
package lease
