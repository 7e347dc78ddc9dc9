package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store. It loses nothing, answers at once and keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storedEvent
	changed  chan struct{}
	listener net.Listener
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedEvent struct {
	kind    string
	Deleted bool         `json:"deleted"`
	Object  storedObject `json:"object"`
}

// pageItems is the number of objects in one answer, as the protocol page gives it.
const pageItems = 500

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, objects: make(map[string]map[string]storedObject), changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.replaceStatus)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.delete)
	go http.Serve(l, mux) //nolint:errcheck // It returns when the listener is closed.
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec = name, b
	s.write(kind, o, false)
}

// write stores an object and wakes the watches. s.mu is held.
func (s *store) write(kind string, o storedObject, deleted bool) storedObject {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	} else {
		s.objects[kind][o.Meta.Name] = o
	}
	s.history = append(s.history, storedEvent{kind: kind, Deleted: deleted, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind, q := r.PathValue("kind"), r.URL.Query()
	if q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > q.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	items := []storedObject{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []storedEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, found := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !found {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	in, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	o, found := s.objects[kind][in.Meta.Name]
	if !found {
		o = s.write(kind, storedObject{Meta: objectMeta{Name: in.Meta.Name, Finalizers: in.Meta.Finalizers}, Spec: in.Spec}, false)
	}
	s.mu.Unlock()
	if found {
		answer(w, http.StatusConflict, o)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(o *storedObject, in storedObject) { o.Spec, o.Meta.Finalizers = in.Spec, in.Meta.Finalizers })
}

func (s *store) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(o *storedObject, in storedObject) { o.Status = in.Status })
}

func (s *store) change(w http.ResponseWriter, r *http.Request, apply func(o *storedObject, in storedObject)) {
	in, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	o, found := s.objects[kind][r.PathValue("name")]
	conflict := found && in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision
	if found && !conflict {
		apply(&o, in)
		o = s.write(kind, o, false)
	}
	s.mu.Unlock()
	switch {
	case !found:
		answer(w, http.StatusNotFound, struct{}{})
	case conflict:
		answer(w, http.StatusConflict, o)
	default:
		answer(w, http.StatusOK, o)
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	kind := r.PathValue("kind")
	s.mu.Lock()
	o, found := s.objects[kind][r.PathValue("name")]
	conflict := found && revision != 0 && revision != o.Meta.Revision
	if found && !conflict {
		o = s.write(kind, o, true)
	}
	s.mu.Unlock()
	switch {
	case !found:
		answer(w, http.StatusNotFound, struct{}{})
	case conflict:
		answer(w, http.StatusConflict, o)
	default:
		answer(w, http.StatusOK, o)
	}
}

func readObject(w http.ResponseWriter, r *http.Request) (storedObject, bool) {
	var in storedObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<21)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return in, false
	}
	return in, true
}

func answer(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}
