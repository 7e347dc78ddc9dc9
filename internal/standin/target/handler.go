package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const copyBuffer = 32 << 10

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathDownload, t.download)
	mux.HandleFunc(PathUpload, t.upload)
	mux.HandleFunc(PathEcho, t.echo)
	mux.HandleFunc(PathWork, t.work)
	mux.HandleFunc(PathLoad, t.load)
	mux.HandleFunc(PathHealth, func(http.ResponseWriter, *http.Request) {})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set(HeaderService, t.cfg.Service)
		h.Set(HeaderTarget, t.cfg.ID)
		h.Set(HeaderCaller, r.RemoteAddr)
		mux.ServeHTTP(w, r)
	})
}

func (t *Target) download(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, err := strconv.ParseInt(q.Get("size"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "parameter size is not a number of bytes", http.StatusBadRequest)
		return
	}
	chunk, every, err := parsePace(q.Get("chunk"), q.Get("every"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", q.Get("size"))
	body := io.LimitReader(Content(t.cfg.Service, q.Get("flow")), size)
	if every == 0 {
		_, _ = io.CopyBuffer(w, body, make([]byte, copyBuffer))
		return
	}
	sendPaced(w, r, body, chunk, every)
}

// parsePace parses the chunk size and the interval; both are 0 when every is empty.
func parsePace(chunk, every string) (int64, time.Duration, error) {
	if every == "" {
		return 0, 0, nil
	}
	d, err := time.ParseDuration(every)
	if err != nil || d <= 0 {
		return 0, 0, fmt.Errorf("parameter every: %q is not a positive duration", every)
	}
	n, err := strconv.ParseInt(chunk, 10, 64)
	if err != nil || n <= 0 {
		return 0, 0, fmt.Errorf("parameter chunk: %q is not a positive number of bytes", chunk)
	}
	return n, d, nil
}

func sendPaced(w http.ResponseWriter, r *http.Request, body io.Reader, chunk int64, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	control := http.NewResponseController(w)
	for {
		n, err := io.CopyN(w, body, chunk)
		if err != nil || n < chunk || control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

func (t *Target) upload(w http.ResponseWriter, r *http.Request) {
	c := NewChecker(t.cfg.Service, r.URL.Query().Get("flow"))
	_, err := io.Copy(c, r.Body)
	_ = json.NewEncoder(w).Encode(Upload{Size: c.Size(), Intact: err == nil})
}

func (t *Target) echo(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	b := make([]byte, copyBuffer)
	for {
		n, err := r.Body.Read(b)
		if n > 0 {
			_, _ = w.Write(b[:n])
			_ = control.Flush()
		}
		if err != nil {
			return
		}
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	open := t.Open()
	if t.cfg.FalseLoad != nil {
		open = t.cfg.FalseLoad(open)
	}
	_, _ = fmt.Fprintln(w, open)
}
