package requests

import (
	"sync"
	"time"
)

// deathMargin extends the time of a request in which a death explains an unknown outcome, at both ends.
const deathMargin = 100 * time.Millisecond

// deaths records when processes of each service died.
type deaths struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func newDeaths() *deaths { return &deaths{times: make(map[string][]time.Time)} }

func (d *deaths) record(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.times[service] = append(d.times[service], time.Now())
}

// explain reports whether a process of the service died during the request or within deathMargin of it.
func (d *deaths) explain(t completion) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.times[t.work.service] {
		if at.After(t.began.Add(-deathMargin)) && at.Before(t.ended.Add(deathMargin)) {
			return true
		}
	}
	return false
}
