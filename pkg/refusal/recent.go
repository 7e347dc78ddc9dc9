package refusal

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// recentObject is a written object, with the version at which it is known to be stored.
type recentObject struct {
	objectapi.Object
	at time.Time
}

// recentObjects are the recently written objects, oldest first. A restore of the object API from an older copy may lose
// them.
type recentObjects struct {
	list  []recentObject
	bytes int
}

// add adds a written object and evicts those that exceed rewriteWindow or maxRewriteBytes.
func (r *recentObjects) add(now time.Time, o objectapi.Object) {
	r.list = append(r.list, recentObject{Object: o, at: now})
	r.bytes += len(o.Value)
	for len(r.list) > 0 && (r.bytes > maxRewriteBytes || now.Sub(r.list[0].at) > rewriteWindow) {
		r.bytes -= len(r.list[0].Value)
		r.list = r.list[1:]
	}
}

// lost returns an object that was last stored in an earlier era; false if there is none.
func (r *recentObjects) lost(era uint64) (objectapi.Object, bool) {
	for _, o := range r.list {
		if objectapi.EraOf(o.Version) < era {
			return o.Object, true
		}
	}
	return objectapi.Object{}, false
}

// stored updates the version at which an object is stored.
func (r *recentObjects) stored(o objectapi.Object) {
	for i := range r.list {
		if r.list[i].Kind == o.Kind && r.list[i].Name == o.Name {
			r.list[i].Version = o.Version
		}
	}
}
