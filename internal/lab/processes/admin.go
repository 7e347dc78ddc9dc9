package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/internal/lab/download"
	"github.com/auburnwood/auburnwood/internal/standin/store"
)

// Paths of the control listener of the stand-ins.
const (
	// PathDownloads runs checked downloads; query: service, count, bytes, chunk, every.
	PathDownloads = "/downloads"
	// PathStore starts or ends an outage of the object API; query: down=true or false.
	PathStore = "/store"
	// PathRefused dials an address that belongs to no service; query: caller, an IP address.
	PathRefused = "/refused"
	// PathBalancer adds a balancer to the fabric or removes it; query: number, and present=true or false.
	PathBalancer = "/balancer"
)

const (
	downloadTimeout = 2 * time.Minute
	parallel        = 64
	maxErrors       = 3
	// unusedAddress belongs to no service.
	unusedAddress = "192.0.2.99:80"
)

// Report is the answer to PathDownloads.
type Report struct {
	// Service is the requested service, Count the number of downloads.
	Service string `json:"service"`
	Count   int    `json:"count"`
	// Whole counts downloads that were complete, correct and from the requested service, Broken the others.
	Whole  int `json:"whole"`
	Broken int `json:"broken"`
	// Targets is the number of distinct targets that answered.
	Targets int `json:"targets"`
	// Milliseconds is the duration of all downloads together.
	Milliseconds int64 `json:"milliseconds"`
	// Errors holds the first errors of broken downloads.
	Errors []string `json:"errors,omitempty"`
}

func (s *standins) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathDownloads, s.downloads)
	mux.HandleFunc("POST "+PathStore, s.outage)
	mux.HandleFunc("POST "+PathRefused, s.refused)
	mux.HandleFunc("POST "+PathBalancer, s.balancer)
	return mux
}

func (s *standins) outage(_ http.ResponseWriter, r *http.Request) {
	s.store.SetFaults(store.Faults{Outage: r.URL.Query().Get("down") == "true"})
}

func (s *standins) balancer(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("number"))
	if err != nil || n < 1 || n > s.layout.Balancers {
		http.Error(w, "number must be that of a balancer", http.StatusBadRequest)
		return
	}
	addr := s.layout.addr(portBalancer + n - 1)
	if r.URL.Query().Get("present") == "true" {
		s.fabric.AddBalancer(addr)
		return
	}
	s.fabric.RemoveBalancer(addr)
}

// refused responds with the error of a connection attempt to an address of no service.
func (s *standins) refused(w http.ResponseWriter, r *http.Request) {
	caller, err := netip.ParseAddr(r.URL.Query().Get("caller"))
	if err != nil {
		http.Error(w, "caller must be an IP address", http.StatusBadRequest)
		return
	}
	conn, err := s.fabric.NewCaller(caller).DialContext(r.Context(), "tcp", unusedAddress)
	if err == nil {
		_ = conn.Close()
		http.Error(w, "an address of no service was answered", http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintln(w, err)
}

func (s *standins) downloads(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, ok := s.layout.service(q.Get("service"))
	count, err := strconv.Atoi(q.Get("count"))
	if !ok || err != nil || count < 1 {
		http.Error(w, "service must be a known service and count a positive number", http.StatusBadRequest)
		return
	}
	d := download.Spec{
		Service: size.Name,
		Address: netip.AddrPortFrom(netip.MustParseAddr(size.Address.IP), size.Address.Port),
	}
	d.Bytes, _ = strconv.Atoi(q.Get("bytes"))
	d.Chunk, _ = strconv.Atoi(q.Get("chunk"))
	d.Every, _ = time.ParseDuration(q.Get("every"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.run(r, d, count))
}

// run performs the downloads, each from a separate caller.
func (s *standins) run(r *http.Request, d download.Spec, count int) Report {
	began := time.Now()
	report := Report{Service: d.Service, Count: count}
	var mu sync.Mutex
	targets := map[string]bool{}
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range count {
		d.Flow = fmt.Sprintf("%d-%d", began.UnixNano(), i)
		one := d
		client := download.Client(s.fabric, netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), downloadTimeout)
		g.Go(func() error {
			id, err := download.Get(r.Context(), client, one)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.addFailure(err)
				return nil
			}
			report.Whole++
			targets[id] = true
			return nil
		})
	}
	_ = g.Wait()
	report.Targets = len(targets)
	report.Milliseconds = time.Since(began).Milliseconds()
	return report
}

func (r *Report) addFailure(err error) {
	r.Broken++
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, err.Error())
	}
}
