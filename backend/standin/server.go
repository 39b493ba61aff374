// Package standin implements a stand-in for a backend server in tests and demos: a service with slots, service times
// and, on request, gray failures. It counts the requests that it receives, so that tests can check them.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"amaranthstile/link"
)

// Paths by which a test controls the stand-in.
const (
	PathFaults = "/standin/faults"
	PathCounts = "/standin/counts"
	PathProbe  = "/healthz"
)

// Faults are the failures that a stand-in simulates; the zero value has none.
type Faults struct {
	// ErrorPercent is the percentage of requests that get a response with status 500.
	ErrorPercent int `json:"errorPercent"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// Hang sends no response until the request is cancelled.
	Hang bool `json:"hang"`
	// Truncate ends the response in the middle.
	Truncate bool `json:"truncate"`
	// Crossed sends a response with the exchange ID of the previous request.
	Crossed bool `json:"crossed"`
	// WrongService responds as a server of another service would; health checks still succeed.
	WrongService bool `json:"wrongService"`
	// OneWay runs requests but sends no response, like a network that carries traffic in one direction only.
	OneWay bool `json:"oneWay"`
	// FlapMillis turns the faults above on and off alternately for this time, in milliseconds; 0 leaves them on.
	FlapMillis int `json:"flapMillis"`
	// Shed refuses requests with status 503 while all slots are taken, instead of letting them wait.
	Shed bool `json:"shed"`
}

// Options configure a stand-in.
type Options struct {
	ID      string
	Service string
	Slots   int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which requests run coldFactor times as long.
	ColdStart time.Duration
}

// coldFactor multiplies the service time during a cold start.
const coldFactor = 10

// Server is the stand-in for a backend server; it is an http.Handler.
type Server struct {
	options Options
	slots   chan struct{}
	start   time.Time

	mu           sync.Mutex
	faults       Faults
	counts       Counts
	lastExchange string // exchange ID of the previous request
}

// Counts are the counts of requests at a stand-in.
type Counts struct {
	// Requests is the number of requests received.
	Requests int `json:"requests"`
	// Runs counts the requests by body, or by URI if the body is empty.
	Runs map[string]int `json:"runs"`
	// KeysSeen is the number of requests with an Authorization header.
	KeysSeen int `json:"keysSeen"`
	// Overlap is the largest number of requests that ran at the same time.
	Overlap int `json:"overlap"`
}

// New returns a stand-in without faults.
func New(o Options) *Server {
	return &Server{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		start:   time.Now(),
		counts:  Counts{Runs: make(map[string]int)},
	}
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = make(map[string]int, len(s.counts.Runs))
	for k, v := range s.counts.Runs {
		c.Runs[k] = v
	}
	return c
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathFaults:
		s.serveFaults(w, r)
	case PathCounts:
		_ = json.NewEncoder(w).Encode(s.Counts())
	case PathProbe:
		w.WriteHeader(http.StatusOK)
	default:
		s.serveWork(w, r)
	}
}

// serveFaults replaces the simulated faults by those in the request body.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// serveWork runs a request of the service.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "incomplete request body", http.StatusBadRequest)
		return
	}
	f, previousExchange := s.record(r, string(body))
	if !s.acquireSlot(r, f) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.respond(w, r, f, previousExchange, body)
}

// record counts the request and returns the faults that apply to it and the exchange ID of the previous request.
func (s *Server) record(r *http.Request, body string) (Faults, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	s.counts.Runs[runKey(r, body)]++
	if r.Header.Get("Authorization") != "" {
		s.counts.KeysSeen++
	}
	previousExchange := s.lastExchange
	s.lastExchange = r.Header.Get(link.HeaderExchange)
	return s.faults.activeAt(time.Since(s.start)), previousExchange
}

// activeAt returns the faults that are active at a time since the start.
func (f Faults) activeAt(since time.Duration) Faults {
	flap := time.Duration(f.FlapMillis) * time.Millisecond
	if flap > 0 && since/flap%2 == 1 {
		return Faults{Shed: f.Shed}
	}
	return f
}

// runKey returns the key of a request in Counts.Runs.
func runKey(r *http.Request, body string) string {
	if body != "" {
		return body
	}
	return r.URL.RequestURI()
}

// acquireSlot waits for a slot and reports whether it got one. With the fault Shed it does not wait.
func (s *Server) acquireSlot(r *http.Request, f Faults) bool {
	if f.Shed {
		select {
		case s.slots <- struct{}{}:
		default:
			return false
		}
	} else {
		select {
		case s.slots <- struct{}{}:
		case <-r.Context().Done():
			return false
		}
	}
	s.mu.Lock()
	s.counts.Overlap = max(s.counts.Overlap, len(s.slots))
	s.mu.Unlock()
	return true
}

// releaseSlot frees a slot.
func (s *Server) releaseSlot() { <-s.slots }

// respond runs the request for the service time and sends the response, subject to the faults.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, f Faults, previousExchange string, body []byte) {
	if f.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(s.serviceTime(f))
	if f.OneWay {
		<-r.Context().Done()
		return
	}
	if f.WrongService {
		_, _ = io.WriteString(w, "another service\n")
		return
	}
	exchange := r.Header.Get(link.HeaderExchange)
	if f.Crossed {
		exchange = previousExchange
	}
	w.Header().Set(link.HeaderExchange, exchange)
	w.Header().Set("Content-Type", "text/plain")
	if s.fails(f) {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	response := fmt.Sprintf("%s %s %s %s\n", s.options.Service, s.options.ID, r.URL.Path, body)
	if f.Truncate {
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		_, _ = io.WriteString(w, response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, strings.NewReader(response))
}

// fails reports whether this request gets an error response. The errors are distributed evenly over the requests.
func (s *Server) fails(f Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts.Requests
	return n*f.ErrorPercent/100 != (n-1)*f.ErrorPercent/100
}

// serviceTime returns how long a request runs under the given faults.
func (s *Server) serviceTime(f Faults) time.Duration {
	d := s.options.ServiceTime
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if time.Since(s.start) < s.options.ColdStart {
		d *= coldFactor
	}
	return d
}
