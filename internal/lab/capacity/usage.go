package capacity

import (
	"runtime"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// liveHeap returns the bytes of live heap objects, after garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// liveMemory returns the bytes of live heap objects and of goroutine stacks.
func liveMemory() float64 {
	heap := liveHeap()
	s := []metrics.Sample{{Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(s)
	return heap + float64(s[0].Value.Uint64())
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration { return usedBy(unix.RUSAGE_SELF) }

// threadTime returns the processor time that the calling thread has used; the goroutine must be locked to the thread.
func threadTime() time.Duration { return usedBy(unix.RUSAGE_THREAD) }

func usedBy(who int) time.Duration {
	var u unix.Rusage
	if unix.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
