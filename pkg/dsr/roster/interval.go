package roster

import "time"

// IntervalFor returns the interval that each of a number of senders is asked to keep, so that the receiver gets at most
// ReceiveRate messages per second.
func IntervalFor(senders int) time.Duration {
	return min(max(MinInterval, intervalAtRate(senders, ReceiveRate)), MaxInterval)
}

// RemoteIntervalFor is IntervalFor for senders of other data centres than the receiver's.
func RemoteIntervalFor(senders int) time.Duration {
	near := IntervalFor(senders)
	if near <= remoteThreshold {
		return near
	}
	return min(remoteFactor*near, MaxInterval)
}

// intervalAtRate returns the interval of each of n senders or receivers when all together have rate messages per
// second.
func intervalAtRate(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}
