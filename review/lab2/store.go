package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store.
const (
	storePage    = 500
	storeMaxWait = 30 * time.Second
	storeHistory = 20 * time.Second
	storeLatency = 4 * time.Millisecond
)

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Meta   storeMeta       `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
}

// change is one entry of the store's history.
type change struct {
	kind  string
	event storeEvent
	at    time.Time
}

// store stands in for the platform's metadata store. It is linearizable, except for cheap reads, which are staleBy old.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	history  []change
	objects  map[string]map[string]storeObject
	changed  chan struct{}
	// staleBy is the age of what a read with serializable=1 returns.
	staleBy time.Duration
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: make(map[string]map[string]storeObject), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.update)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.updateStatus)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.remove)
	go http.Serve(l, mux) //nolint:errcheck // It returns when the listener is closed.
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) setStale(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleBy = by
}

// write stores an object as its next revision; s.mu is held.
func (s *store) write(kind string, o storeObject, deleted bool) storeObject {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	s.objects[kind][o.Meta.Name] = o
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	}
	s.history = append(s.history, change{kind: kind, event: storeEvent{Object: o, Deleted: deleted}, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes the operator's object, and returns when it is acknowledged.
func (s *store) put(kind, name string, spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec = name, b
	s.write(kind, o, false)
	return nil
}

// stateAt returns the objects of a kind as they were, and the revision of that time; s.mu is held.
func (s *store) stateAt(kind string, at time.Time) (map[string]storeObject, uint64) {
	out, revision := make(map[string]storeObject), uint64(1)
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		revision = c.event.Object.Meta.Revision
		if c.kind != kind {
			continue
		}
		out[c.event.Object.Meta.Name] = c.event.Object
		if c.event.Deleted {
			delete(out, c.event.Object.Meta.Name)
		}
	}
	return out, revision
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	if q.Get("watch") != "" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	objects, revision := s.objects[r.PathValue("kind")], s.revision
	if q.Get("serializable") == "1" && s.staleBy > 0 {
		objects, revision = s.stateAt(r.PathValue("kind"), time.Now().Add(-s.staleBy))
	}
	items := []storeObject{}
	for name, o := range objects {
		if name > q.Get("after") {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > storePage
	if more {
		items = items[:storePage]
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, storeMaxWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		events, gone := s.eventsAfter(r.PathValue("kind"), from)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
			}
		}
		respond(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

// eventsAfter returns the events of a kind after a revision; gone is set when the history does not reach back to it.
// s.mu is held.
func (s *store) eventsAfter(kind string, from uint64) (events []storeEvent, gone bool) {
	events = []storeEvent{}
	for _, c := range s.history {
		if c.event.Object.Meta.Revision <= from {
			continue
		}
		if time.Since(c.at) > storeHistory {
			return nil, true
		}
		if c.kind == kind {
			events = append(events, c.event)
		}
	}
	return events, false
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	var in storeObject
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[r.PathValue("kind")][in.Meta.Name]; ok {
		respond(w, http.StatusConflict, o)
		return
	}
	in.Meta.Created = 0
	respond(w, http.StatusOK, s.write(r.PathValue("kind"), in, false))
}

func (s *store) update(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(o, in storeObject) storeObject {
		o.Spec, o.Meta.Finalizers = in.Spec, in.Meta.Finalizers
		return o
	})
}

func (s *store) updateStatus(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(o, in storeObject) storeObject {
		o.Status = in.Status
		return o
	})
}

func (s *store) change(w http.ResponseWriter, r *http.Request, apply func(o, in storeObject) storeObject) {
	time.Sleep(storeLatency)
	var in storeObject
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	condition := max(in.Meta.Revision, queryRevision(r))
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case condition != 0 && condition != o.Meta.Revision:
		respond(w, http.StatusConflict, o)
		return
	}
	next := apply(o, in)
	if !bytes.Equal(next.Spec, o.Spec) || !bytes.Equal(next.Status, o.Status) || !slices.Equal(next.Meta.Finalizers, o.Meta.Finalizers) {
		next = s.write(r.PathValue("kind"), next, false)
	}
	respond(w, http.StatusOK, next)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	condition := queryRevision(r)
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case condition != 0 && condition != o.Meta.Revision:
		respond(w, http.StatusConflict, o)
	default:
		respond(w, http.StatusOK, s.write(r.PathValue("kind"), o, true))
	}
}

// queryRevision is the revision that the query names as a condition, 0 for none.
func queryRevision(r *http.Request) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	return n
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
