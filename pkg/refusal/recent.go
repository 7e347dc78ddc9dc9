package refusal

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// recentObject is an object that was written, with the version at which it is known to be stored.
type recentObject struct {
	objectapi.Object
	at time.Time
}

// recentObjects are the objects that were written lately, oldest first: an object API that comes back from an older copy may have lost them.
type recentObjects struct {
	list  []recentObject
	bytes int
}

// add notes a written object and drops what is too old or too much.
func (r *recentObjects) add(now time.Time, o objectapi.Object) {
	r.list = append(r.list, recentObject{Object: o, at: now})
	r.bytes += len(o.Value)
	for len(r.list) > 0 && (r.bytes > maxKeptWritten || now.Sub(r.list[0].at) > keepWritten) {
		r.bytes -= len(r.list[0].Value)
		r.list = r.list[1:]
	}
}

// lost returns an object that was stored in an earlier era only, and false when there is none.
func (r *recentObjects) lost(era uint64) (objectapi.Object, bool) {
	for _, o := range r.list {
		if objectapi.EraOf(o.Version) < era {
			return o.Object, true
		}
	}
	return objectapi.Object{}, false
}

// stored notes the version at which an object is stored.
func (r *recentObjects) stored(o objectapi.Object) {
	for i := range r.list {
		if r.list[i].Kind == o.Kind && r.list[i].Name == o.Name {
			r.list[i].Version = o.Version
		}
	}
}
