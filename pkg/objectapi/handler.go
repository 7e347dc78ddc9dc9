package objectapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// handler serves a Store over HTTP.
type handler struct {
	store Store
}

// Handler returns an HTTP handler that serves the store to a Client.
func Handler(store Store) http.Handler {
	h := &handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{kind}", h.listOrWatch)
	mux.HandleFunc("GET /v1/{kind}/{name}", h.get)
	mux.HandleFunc("POST /v1/{kind}/{name}", h.create)
	mux.HandleFunc("PUT /v1/{kind}/{name}", h.update)
	mux.HandleFunc("DELETE /v1/{kind}/{name}", h.delete)
	return mux
}

func (h *handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has(paramWatch) {
		h.list(w, r)
		return
	}
	h.watch(w, r)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	kind := Kind(r.PathValue("kind"))
	if err := CheckKind(kind); err != nil {
		h.respondError(w, errors.Join(ErrInvalid, err))
		return
	}
	items, version, err := h.store.List(r.Context(), kind)
	for i := range items {
		items[i].Version = RevisionOf(items[i].Version)
	}
	h.respond(w, listResponse{Items: items, Version: RevisionOf(version)}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	kind := Kind(r.PathValue("kind"))
	if err := CheckKind(kind); err != nil {
		h.respondError(w, errors.Join(ErrInvalid, err))
		return
	}
	from, err := ParseCurrentVersion(h.store, r.URL.Query().Get(paramWatch))
	if err != nil {
		h.respondError(w, err)
		return
	}
	events, version, err := h.store.Watch(r.Context(), kind, from)
	for i := range events {
		events[i].Object.Version = RevisionOf(events[i].Object.Version)
	}
	h.respond(w, watchResponse{Events: events, Version: RevisionOf(version)}, err)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	kind, name, err := requestKey(r)
	if err != nil {
		h.respondError(w, err)
		return
	}
	o, err := h.store.Get(r.Context(), kind, name)
	h.respondObject(w, o, err)
}

func (h *handler) create(w http.ResponseWriter, r *http.Request) {
	o, err := decodeObject(w, r)
	if err != nil {
		h.respondError(w, err)
		return
	}
	o, err = h.store.Create(r.Context(), o.Kind, o.Name, o.Value)
	h.respondObject(w, o, err)
}

func (h *handler) update(w http.ResponseWriter, r *http.Request) {
	o, err := decodeObject(w, r)
	if err != nil {
		h.respondError(w, err)
		return
	}
	if o.Version, err = CurrentVersion(h.store, o.Version); err != nil {
		h.respondError(w, err)
		return
	}
	o, err = h.store.Update(r.Context(), o)
	h.respondObject(w, o, err)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	kind, name, err := requestKey(r)
	if err != nil {
		h.respondError(w, err)
		return
	}
	version, err := ParseCurrentVersion(h.store, r.URL.Query().Get(paramVersion))
	if err != nil {
		h.respondError(w, err)
		return
	}
	h.respond(w, struct{}{}, h.store.Delete(r.Context(), kind, name, version))
}

// requestKey returns the object's kind and name from the path, or ErrInvalid.
func requestKey(r *http.Request) (Kind, string, error) {
	kind, name := Kind(r.PathValue("kind")), r.PathValue("name")
	if err := CheckKey(kind, name); err != nil {
		return "", "", errors.Join(ErrInvalid, err)
	}
	return kind, name, nil
}

// decodeObject reads an object from the request. Its kind and name are those of the path, not of the body.
func decodeObject(w http.ResponseWriter, r *http.Request) (Object, error) {
	kind, name, err := requestKey(r)
	if err != nil {
		return Object{}, err
	}
	var o Object
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err := d.Decode(&o); err != nil {
		return Object{}, errors.Join(ErrInvalid, err)
	}
	if len(o.Value) > MaxValueSize {
		return Object{}, errors.Join(ErrInvalid, fmt.Errorf("value of %d bytes is above the limit of %d bytes", len(o.Value), MaxValueSize))
	}
	o.Kind, o.Name = kind, name
	return o, nil
}

// respondObject writes an object with its revision as version, or err if it is not nil.
func (h *handler) respondObject(w http.ResponseWriter, o Object, err error) {
	o.Version = RevisionOf(o.Version)
	h.respond(w, o, err)
}

// respond writes v as JSON, or err if it is not nil.
func (h *handler) respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		h.respondError(w, err)
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		h.respondError(w, err)
		return
	}
	SetEraHeader(w.Header(), h.store)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // The client detects a truncated response.
}

func (h *handler) respondError(w http.ResponseWriter, err error) {
	SetEraHeader(w.Header(), h.store)
	status := statusOf(err)
	b, _ := json.Marshal(problem{Status: status, Title: http.StatusText(status), Detail: err.Error()})
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
