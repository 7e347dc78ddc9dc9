package dsrd

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/dsr/recording"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// handoverFleet is a number of balancers that hand refusal records to each other without a network.
type handoverFleet struct {
	*testing.T
	store *store.Store
	nodes map[netip.AddrPort]*refusalHandover
	// down are the balancers that cannot be reached.
	down map[netip.AddrPort]bool
	// living are the balancers that all know.
	living []recording.Candidate
}

func newHandoverFleet(t *testing.T, n int) *handoverFleet {
	f := &handoverFleet{T: t, store: store.New(store.Config{}), nodes: make(map[netip.AddrPort]*refusalHandover), down: make(map[netip.AddrPort]bool)}
	for _, a := range unreachable(n) {
		f.living = append(f.living, recording.Candidate{Address: a, Capacity: 1})
		h := &refusalHandover{self: a, client: &http.Client{Transport: f}, living: func() []recording.Candidate { return f.living }}
		h.log = refusal.NewLog(refusal.Config{
			Process: a.String(), Incarnation: 1, Store: f.store, Mirror: h, MirrorDelay: refusalDelay, HandsOver: h.handsOver,
			Retain: refusalRetain, Logger: zerolog.Nop(),
		})
		f.nodes[a] = h
	}
	return f
}

// start runs the logs; nothing of the fleet may be changed afterwards.
func (f *handoverFleet) start() {
	for _, h := range f.nodes {
		go func() { _ = h.log.Run(f.Context()) }()
	}
}

// RoundTrip implements http.RoundTripper.
func (f *handoverFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	to := netip.MustParseAddrPort(r.URL.Host)
	if f.down[to] {
		return nil, errors.New("unreachable")
	}
	w := httptest.NewRecorder()
	f.nodes[to].ServeHTTP(w, r)
	return w.Result(), nil
}

// written returns the number of refusals in the object API, each counted once.
func (f *handoverFleet) written() uint64 {
	found, err := refusal.NewReader(f.store).Find(f.Context(), refusal.Query{From: time.Now().Add(-time.Hour), To: time.Now()})
	require.NoError(f, err)
	return found.Refusals
}

func TestFewBalancersWriteTheRefusalsOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const balancers, seconds = 96, 25
		f := newHandoverFleet(t, balancers)
		f.start()
		for range seconds {
			for _, h := range f.nodes {
				h.log.Record(refusal.Record{Reason: refusal.ReasonUnknownAddress, Run: refusal.RunNo})
			}
			time.Sleep(time.Second)
		}
		time.Sleep(refusalRetain)
		require.EqualValues(t, balancers*seconds, f.written())
		// Three write: at first each 2 s, later each minute.
		require.LessOrEqual(t, f.store.Counts().Writes(), uint64(3*10))
	})
}

// While balancers disagree about who writes, each would pass the records on to another one.
func TestRecordsThatWereTakenAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 2)
		a, b := f.nodes[f.living[0].Address], f.nodes[f.living[1].Address]
		a.living = func() []recording.Candidate { return []recording.Candidate{{Address: b.self, Capacity: 1}} }
		b.living = func() []recording.Candidate { return []recording.Candidate{{Address: a.self, Capacity: 1}} }
		f.start()
		a.log.Record(refusal.Record{Reason: refusal.ReasonUnknownAddress, Run: refusal.RunNo})
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, f.written())
		require.EqualValues(t, 1, f.store.Counts().Writes())
	})
}

func TestRefusalsAreWrittenWhenTheWriterIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 40)
		var h *refusalHandover
		for _, other := range f.nodes {
			if _, hands := other.target(time.Now()); hands {
				h = other
				break
			}
		}
		to, _ := h.target(time.Now())
		f.down[to] = true
		f.start()
		h.log.Record(refusal.Record{Reason: refusal.ReasonUnknownAddress, Run: refusal.RunNo})
		time.Sleep(writerTimeout + 2*refusalDelay + time.Second)
		require.EqualValues(t, 1, f.written())
	})
}

func TestRefusalRecordsThatCannotBeReadAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 1)
		h := f.nodes[f.living[0].Address]
		good, err := refusal.EncodeRecords([]refusal.Record{{ID: "x/1/1.1", Count: 1, Time: time.Now(), Reason: refusal.ReasonUnknownAddress, Run: refusal.RunNo}})
		require.NoError(t, err)
		for _, c := range []struct {
			body   []byte
			status int
		}{
			{nil, http.StatusBadRequest},
			{[]byte("x"), http.StatusBadRequest},
			{good[:len(good)/2], http.StatusBadRequest},
			{bytes.Repeat([]byte("x"), maxRefusalBytes+1), http.StatusRequestEntityTooLarge},
			{good, http.StatusNoContent},
		} {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, refusalPath, bytes.NewReader(c.body)))
			require.Equal(t, c.status, w.Code, strings.ToValidUTF8(string(c.body[:min(8, len(c.body))]), "?"))
		}
	})
}
