package objectapi_test

import (
	"net/http/httptest"
	"testing"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// BenchmarkHTTP measures a call over loopback, including the time of the stand-in server.
func BenchmarkHTTP(b *testing.B) {
	srv := httptest.NewServer(objectapi.Handler(store.New(store.Config{})))
	defer srv.Close()
	s := objectapi.NewClient(srv.URL, objectapi.Options{})
	o, err := s.Create(b.Context(), kind, "a", make([]byte, 1000))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("Get", func(b *testing.B) {
		for b.Loop() {
			if _, err := s.Get(b.Context(), kind, "a"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("Update", func(b *testing.B) {
		for b.Loop() {
			if o, err = s.Update(b.Context(), o); err != nil {
				b.Fatal(err)
			}
		}
	})
}
