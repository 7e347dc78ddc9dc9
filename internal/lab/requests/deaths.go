package requests

import (
	"sync"
	"time"
)

// deathMargin is how long before and after a request's time a death may explain an unknown outcome.
const deathMargin = 100 * time.Millisecond

// deaths remembers when processes of a service died.
type deaths struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func newDeaths() *deaths { return &deaths{times: make(map[string][]time.Time)} }

func (d *deaths) note(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.times[service] = append(d.times[service], time.Now())
}

// explain reports whether a process of the service died during the request.
func (d *deaths) explain(t told) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.times[t.work.service] {
		if at.After(t.began.Add(-deathMargin)) && at.Before(t.ended.Add(deathMargin)) {
			return true
		}
	}
	return false
}
