package objectapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

const kind objectapi.Kind = "thing"

// calls makes each call of a Store once.
var calls = map[objectapi.Op]func(context.Context, objectapi.Store) error{
	objectapi.OpGet: func(ctx context.Context, s objectapi.Store) error {
		_, err := s.Get(ctx, kind, "a")
		return err
	},
	objectapi.OpList: func(ctx context.Context, s objectapi.Store) error {
		_, _, err := s.List(ctx, kind)
		return err
	},
	objectapi.OpWatch: func(ctx context.Context, s objectapi.Store) error {
		_, _, err := s.Watch(ctx, kind, 0)
		return err
	},
	objectapi.OpCreate: func(ctx context.Context, s objectapi.Store) error {
		_, err := s.Create(ctx, kind, "a", []byte("x"))
		return err
	},
	objectapi.OpUpdate: func(ctx context.Context, s objectapi.Store) error {
		_, err := s.Update(ctx, objectapi.Object{Kind: kind, Name: "a", Version: 1})
		return err
	},
	objectapi.OpDelete: func(ctx context.Context, s objectapi.Store) error {
		return s.Delete(ctx, kind, "a", 1)
	},
}

// TestClientErrors checks the typed errors of reads and writes for each kind of server failure.
func TestClientErrors(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	for _, c := range []struct {
		name        string
		handler     http.HandlerFunc
		read, write error
	}{
		{"404", status(404), objectapi.ErrNotFound, objectapi.ErrNotFound},
		{"409", status(409), objectapi.ErrConflict, objectapi.ErrConflict},
		{"410", status(410), objectapi.ErrExpired, objectapi.ErrExpired},
		{"400", status(400), objectapi.ErrInvalid, objectapi.ErrInvalid},
		{"429", status(429), objectapi.ErrUnavailable, objectapi.ErrUnavailable},
		{"503", status(503), objectapi.ErrUnavailable, objectapi.ErrUnavailable},
		{"408", status(408), objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
		{"500", status(500), objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
		{"502", status(502), objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
		{"307", status(307), objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
		{"NoAnswer", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
		{"Silent", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
		{"HalfAnswer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"kind":`)
		}, objectapi.ErrUnavailable, objectapi.ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(c.handler)
			defer srv.Close()
			s := objectapi.NewClient(srv.URL, objectapi.Options{CallTimeout: 200 * time.Millisecond, WatchTimeout: 200 * time.Millisecond})
			for op, call := range calls {
				want := c.read
				if op.Writes() {
					want = c.write
				}
				if op == objectapi.OpDelete && c.name == "HalfAnswer" {
					continue // The response to a delete has no body to truncate.
				}
				err := call(t.Context(), s)
				require.ErrorIs(t, err, want, op)
				require.ErrorContains(t, err, "op="+string(op))
				require.ErrorContains(t, err, "peer="+srv.URL)
			}
		})
	}
}

func TestClientRefusedConnection(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	s := objectapi.NewClient(srv.URL, objectapi.Options{})
	for op, call := range calls {
		err := call(t.Context(), s)
		require.ErrorIs(t, err, objectapi.ErrUnavailable, op)
		require.NotErrorIs(t, err, objectapi.ErrOutcomeUnknown, op)
	}
}

// TestClientSendsWritesOnce closes a kept-alive connection during a write, which an HTTP client must not retry.
func TestClientSendsWritesOnce(t *testing.T) {
	var writes atomic.Int64
	mem := store.New(store.Config{})
	api := objectapi.Handler(mem)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			writes.Add(1)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	defer srv.Close()
	s := objectapi.NewClient(srv.URL, objectapi.Options{})
	for _, op := range []objectapi.Op{objectapi.OpCreate, objectapi.OpUpdate, objectapi.OpDelete} {
		require.NoError(t, calls[objectapi.OpList](t.Context(), s), "opens a connection that is kept alive")
		before := writes.Load()
		require.ErrorIs(t, calls[op](t.Context(), s), objectapi.ErrOutcomeUnknown)
		require.EqualValues(t, 1, writes.Load()-before, op)
	}
}

// FuzzHandler checks that no request makes the server panic or answer with a 5xx status.
func FuzzHandler(f *testing.F) {
	f.Add("GET", "/v1/thing?watch=0", "")
	f.Add("PUT", "/v1/thing/a", `{"version":1,"value":"eA=="}`)
	f.Add("POST", "/v1/thing/%2e%2e", `{"value":"eA=="}`)
	f.Add("DELETE", "/v1/thing/a?version=18446744073709551616", "")
	f.Fuzz(func(t *testing.T, method, target, body string) {
		mem := store.New(store.Config{WatchWait: time.Nanosecond})
		_, err := mem.Create(t.Context(), kind, "a", nil)
		require.NoError(t, err)
		r, err := http.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		objectapi.Handler(mem).ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}

func TestTyped(t *testing.T) {
	type value struct{ N int }
	s := store.New(store.Config{})
	v, err := objectapi.CreateTyped(t.Context(), s, kind, "a", value{N: 1})
	require.NoError(t, err)
	old := v
	v.Value.N = 2
	v, err = objectapi.UpdateTyped(t.Context(), s, v)
	require.NoError(t, err)
	_, err = objectapi.UpdateTyped(t.Context(), s, old)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	got, err := objectapi.GetTyped[value](t.Context(), s, kind, "a")
	require.NoError(t, err)
	require.Equal(t, v, got)
	_, err = s.Create(t.Context(), kind, "b", []byte("{"))
	require.NoError(t, err)
	l, err := objectapi.ListTyped[value](t.Context(), s, kind)
	require.NoError(t, err)
	require.Equal(t, []objectapi.Typed[value]{v}, l.Items)
	require.Len(t, l.Malformed, 1)
	require.ErrorIs(t, l.Malformed[0], objectapi.ErrInvalid)
}
