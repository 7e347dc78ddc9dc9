// Package lease gives a duty of the fleet to one process at a time and fences the writes of former holders.
//
// A lease is one object of the object API. The holder renews it by conditional update. Another process takes it over
// when it has seen no change of the object's version for the lease's duration, measured on its own monotonic clock;
// clocks of two machines are never compared. The holder counts its own validity from before it sent the write, and
// gives up a margin earlier than others may take over, so that the two do not overlap while clocks run at about the
// same rate. A paused holder may still believe that it holds the lease; what protects the duty's objects is Fenced,
// not the clock.
package lease
