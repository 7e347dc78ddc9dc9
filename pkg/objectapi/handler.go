package objectapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
)

// handler serves a Store by HTTP.
type handler struct {
	store Store
}

// Handler returns the server side of the protocol that NewClient speaks.
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
		answerError(w, errors.Join(ErrInvalid, err))
		return
	}
	items, version, err := h.store.List(r.Context(), kind)
	answer(w, listAnswer{Items: items, Version: version}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	kind := Kind(r.PathValue("kind"))
	if err := CheckKind(kind); err != nil {
		answerError(w, errors.Join(ErrInvalid, err))
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get(paramWatch), 10, 64)
	if err != nil {
		answerError(w, errors.Join(ErrInvalid, err))
		return
	}
	events, version, err := h.store.Watch(r.Context(), kind, from)
	answer(w, watchAnswer{Events: events, Version: version}, err)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	kind, name, err := key(r)
	if err != nil {
		answerError(w, err)
		return
	}
	o, err := h.store.Get(r.Context(), kind, name)
	answer(w, o, err)
}

func (h *handler) create(w http.ResponseWriter, r *http.Request) {
	o, err := body(w, r)
	if err != nil {
		answerError(w, err)
		return
	}
	o, err = h.store.Create(r.Context(), o.Kind, o.Name, o.Value)
	answer(w, o, err)
}

func (h *handler) update(w http.ResponseWriter, r *http.Request) {
	o, err := body(w, r)
	if err != nil {
		answerError(w, err)
		return
	}
	o, err = h.store.Update(r.Context(), o)
	answer(w, o, err)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	kind, name, err := key(r)
	if err != nil {
		answerError(w, err)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get(paramVersion), 10, 64)
	if err != nil {
		answerError(w, errors.Join(ErrInvalid, err))
		return
	}
	answer(w, struct{}{}, h.store.Delete(r.Context(), kind, name, version))
}

// key reads and checks the object's kind and name from the path.
func key(r *http.Request) (Kind, string, error) {
	kind, name := Kind(r.PathValue("kind")), r.PathValue("name")
	if err := CheckKey(kind, name); err != nil {
		return "", "", errors.Join(ErrInvalid, err)
	}
	return kind, name, nil
}

// body reads an object from the request; the path names it, whatever the body says.
func body(w http.ResponseWriter, r *http.Request) (Object, error) {
	kind, name, err := key(r)
	if err != nil {
		return Object{}, err
	}
	var o Object
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err := d.Decode(&o); err != nil {
		return Object{}, errors.Join(ErrInvalid, err)
	}
	if len(o.Value) > MaxValueSize {
		return Object{}, errors.Join(ErrInvalid, errors.New("value above MaxValueSize"))
	}
	o.Kind, o.Name = kind, name
	return o, nil
}

// answer writes v, or the error when there is one.
func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		answerError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // The client sees a broken answer by itself.
}

func answerError(w http.ResponseWriter, err error) {
	status := statusOf(err)
	b, _ := json.Marshal(problem{Status: status, Title: http.StatusText(status), Detail: err.Error()})
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
