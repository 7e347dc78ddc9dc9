package store

import (
	"cmp"
	"maps"
	"slices"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Snapshot is a copy of a store's objects and history, for Restore.
type Snapshot struct {
	objects map[key]objectapi.Object
	history []event
	version uint64
	trimmed uint64
}

// Snapshot returns a copy of the store's current objects and history.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		objects: maps.Clone(s.objects),
		history: slices.Clone(s.history),
		version: s.version,
		trimmed: s.trimmed,
	}
}

// Restore replaces the objects and the history by those of a snapshot and begins the next era, in which revisions continue
// from those of the snapshot. Later writes are lost, except for objects of the kinds in rewritten: their current state is
// written again, in the order of their versions. Waiting watches fail with ErrUnavailable.
func (s *Store) Restore(c Snapshot, rewritten ...objectapi.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.objects
	era := objectapi.EraOf(s.version) + 1
	s.version, s.trimmed = inEra(era, c.version), inEra(era, c.trimmed)
	s.objects = make(map[key]objectapi.Object, len(c.objects))
	for k, o := range c.objects {
		o.Version = inEra(era, o.Version)
		s.objects[k] = o
	}
	s.history = slices.Clone(c.history)
	for i := range s.history {
		s.history[i].Object.Version = inEra(era, s.history[i].Object.Version)
	}
	s.rewriteLost(lost, rewritten)
	for kind := range s.changed {
		s.wake(kind)
	}
}

// Era implements objectapi.EraSource.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return objectapi.EraOf(s.version)
}

// rewriteLost brings objects of the given kinds back to their state in lost, and deletes those that are not in it; s.mu is
// held.
func (s *Store) rewriteLost(lost map[key]objectapi.Object, kinds []objectapi.Kind) {
	objects := slices.Collect(maps.Values(lost))
	slices.SortFunc(objects, func(a, b objectapi.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range objects {
		old, exists := s.objects[key{o.Kind, o.Name}]
		if !slices.Contains(kinds, o.Kind) || exists && slices.Equal(old.Value, o.Value) {
			continue
		}
		s.put(o, objectapi.EventPut)
	}
	for k, o := range s.objects {
		if _, kept := lost[k]; !kept && slices.Contains(kinds, k.kind) {
			s.put(o, objectapi.EventDelete)
		}
	}
}

// put stores or deletes an object under the next version; s.mu is held.
func (s *Store) put(o objectapi.Object, t objectapi.EventType) objectapi.Object {
	s.version++
	o.Version = s.version
	if t == objectapi.EventDelete {
		delete(s.objects, key{o.Kind, o.Name})
	} else {
		s.objects[key{o.Kind, o.Name}] = o
	}
	s.publish(objectapi.Event{Type: t, Object: o})
	return o
}

// Version returns the version of a revision in an era; it panics when either is out of range.
func Version(era, revision uint64) uint64 {
	v, err := objectapi.MakeVersion(era, revision)
	if err != nil {
		panic(err) // Eras are out of range only after millions of restores.
	}
	return v
}

// inEra returns the version with the same revision in another era.
func inEra(era, version uint64) uint64 { return Version(era, objectapi.RevisionOf(version)) }
