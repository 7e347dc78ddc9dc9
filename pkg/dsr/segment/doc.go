// Package segment holds the packets of pass-through flows as the decisions see them: the two ends, the flags and the
// sequence numbers, beside the packet's bytes, which only its two ends write.
package segment
