package control

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the cumulative resource usage of the installation.
type usage struct {
	at time.Time
	// cpu is the processor time of the whole process, the store and the operators included.
	cpu time.Duration
	// bytes holds the control bytes of each live balancer by its number, sessions the sum over all sessions.
	bytes    map[int]int64
	sessions int64
	// reads and writes are the balancers' calls of the store.
	reads, writes int64
}

func (c *cluster) usage() usage {
	u := usage{at: time.Now(), cpu: processorTime(), bytes: make(map[int]int64)}
	for _, b := range c.live() {
		u.bytes[b.number] = b.bytes()
	}
	u.sessions = sessionBytes(c.sessions)
	u.reads, u.writes = c.api.counts.reads.Load(), c.api.counts.writes.Load()
	return u
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heap returns the bytes of heap objects after a garbage collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Rates is the resource usage over a period.
type Rates struct {
	// Bytes is the mean control traffic of a balancer in bytes per second, sent and received; MaxBytes is the highest of
	// any balancer.
	Bytes, MaxBytes float64
	// SessionBytes is the mean control traffic of a target's session in bytes per second.
	SessionBytes float64
	// CPU is the processor time of the whole process per daemon (balancers and sessions), in percent of one core.
	CPU float64
	// Cores is the processor time of the whole process in cores.
	Cores float64
	// Reads and Writes are the balancers' calls of the store per second.
	Reads, Writes float64
}

// ratesBetween returns the rates from usage a to usage b. Balancers that joined or died in between don't count in Bytes.
func ratesBetween(a, b usage, daemons, targets int) Rates {
	s := b.at.Sub(a.at).Seconds()
	r := Rates{
		Cores:  (b.cpu - a.cpu).Seconds() / s,
		Reads:  float64(b.reads-a.reads) / s,
		Writes: float64(b.writes-a.writes) / s,
	}
	r.CPU = 100 * r.Cores / float64(daemons)
	n := 0
	for number, end := range b.bytes {
		begin, ok := a.bytes[number]
		if !ok {
			continue
		}
		x := float64(end-begin) / s
		r.Bytes += x
		r.MaxBytes = max(r.MaxBytes, x)
		n++
	}
	r.Bytes /= float64(max(n, 1))
	if targets > 0 {
		r.SessionBytes = float64(b.sessions-a.sessions) / s / float64(targets)
	}
	return r
}
