package warmup

import "time"

// Limit is the rate of new flows that a target takes while it is cold. The zero value sets no limit.
type Limit struct {
	// PerSecond is the number of new flows that the target takes in any second; 0 for no limit.
	PerSecond float64
	// Room is the number of flows that it takes at once now, Until the time when it is warm.
	Room  int
	Until time.Time
}

func (l Limit) InForce(now time.Time) bool { return l.PerSecond > 0 && now.Before(l.Until) }

// Wait estimates how long a flow waits behind others, when a warm target takes one in each interval.
func (l Limit) Wait(now time.Time, ahead int, interval time.Duration) time.Duration {
	warm := interval * time.Duration(ahead)
	if !l.InForce(now) {
		return warm
	}
	left := l.Until.Sub(now)
	paced := seconds(max(0, float64(ahead+1-l.Room)) / l.PerSecond)
	if paced <= left {
		return max(warm, paced)
	}
	taken := l.Room + int(l.PerSecond*left.Seconds())
	return left + interval*time.Duration(max(0, ahead-taken))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
