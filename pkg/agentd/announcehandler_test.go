package agentd

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validAnnouncement = `{"service":"route-svc","slots":3,"connections":2000}`

func send(t *testing.T, h http.Handler, method, path, body string) int {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code
}

func TestAnnouncements(t *testing.T) {
	tests := map[string]struct {
		bodies []string
		want   int
	}{
		"good":          {[]string{validAnnouncement}, http.StatusNoContent},
		"repeated":      {[]string{validAnnouncement, validAnnouncement}, http.StatusNoContent},
		"changed":       {[]string{validAnnouncement, `{"service":"route-svc","slots":4,"connections":2000}`}, http.StatusConflict},
		"no service":    {[]string{`{"slots":3,"connections":2000}`}, http.StatusBadRequest},
		"no slots":      {[]string{`{"service":"a","connections":1}`}, http.StatusBadRequest},
		"unknown field": {[]string{`{"service":"a","slots":1,"connections":1,"x":1}`}, http.StatusBadRequest},
		"no JSON":       {[]string{`{`}, http.StatusBadRequest},
		"too long":      {[]string{`{"service":"` + strings.Repeat("a", maxAnnouncementBytes) + `"}`}, http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newAnnounceHandler(func() string { return "active" }).handler()
			var code int
			for _, body := range tt.bodies {
				code = send(t, h, http.MethodPut, PathTarget, body)
			}
			require.Equal(t, tt.want, code)
		})
	}
}

func TestDrainIsFinal(t *testing.T) {
	a := newAnnounceHandler(func() string { return "active" })
	h := a.handler()
	require.Equal(t, http.StatusNoContent, send(t, h, http.MethodPut, PathTarget, validAnnouncement))
	require.Equal(t, http.StatusAccepted, send(t, h, http.MethodPost, PathDrain, ""))
	require.Equal(t, http.StatusAccepted, send(t, h, http.MethodPost, PathDrain, ""))
	require.Equal(t, http.StatusConflict, send(t, h, http.MethodPut, PathTarget, validAnnouncement))
	<-a.drained
}
