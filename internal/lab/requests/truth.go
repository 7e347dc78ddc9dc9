package requests

import "sync/atomic"

// truth counts how often targets began to run each request, and in wrong the mismatches of service or body.
type truth struct {
	runs  []atomic.Int32
	wrong atomic.Int64
}

func newTruth(n int) *truth { return &truth{runs: make([]atomic.Int32, n)} }

func (t *truth) began(work int) { t.runs[work].Add(1) }

func (t *truth) count(work int) int { return int(t.runs[work].Load()) }
